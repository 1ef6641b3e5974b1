package logline

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cause is why a request was not answered in time.
type Cause string

// The causes. A request has the first that explains it.
const (
	// CauseRefused, and the reason of it: no upstream was to have it.
	CauseRefused Cause = "Refused"
	// CauseFailed: it was sent and brought no answer.
	CauseFailed Cause = "Failed"
	// CauseCallerLeft: nobody waited for it any more.
	CauseCallerLeft Cause = "CallerLeft"
	// CauseBehind: its answer was ready in time and had to wait for those before it on
	// its connection.
	CauseBehind Cause = "Behind"
	// CauseRetried: the first upstream did not serve it.
	CauseRetried Cause = "Retried"
	// CauseDistance: without the round trip to the upstream it had been in time.
	CauseDistance Cause = "Distance"
	// CauseNewEverywhere: no upstream had handled its object before.
	CauseNewEverywhere Cause = "NewEverywhere"
	// CauseSpilled: its owner had no room, and its object was new where it went.
	CauseSpilled Cause = "Spilled"
	// CauseOwnerChanged: its object was new to its owner, and known elsewhere.
	CauseOwnerChanged Cause = "OwnerChanged"
	// CauseQueue: the upstream was known to have as many requests as slots.
	CauseQueue Cause = "Queue"
	// CauseSlow: nothing of these. The upstream was slow, had more to do than the VM
	// knew, or had forgotten the object.
	CauseSlow Cause = "Slow"
)

// CauseCount is how many requests of a route had a cause in a span of time.
type CauseCount struct {
	Route string
	Cause Cause
	// Reason says more of a refusal or failure.
	Reason string
	// From is when the span begins; zero where all time is one.
	From time.Time
	N    int
	// Asked is how many requests of the route the lines tell of in that span.
	Asked int
}

// Causes gives each request that was not answered within its route's objective one
// cause, and counts them by route, the most frequent first; by spans of time where
// every is above 0. Lines that VMs dropped are missing, so what is counted are parts,
// not totals.
func Causes(lines []Line, every time.Duration) []CauseCount {
	ended := make([]*request, 0, len(lines))
	for i := range lines {
		if r := requestOf(&lines[i]); r != nil {
			ended = append(ended, r)
		}
	}
	slices.SortStableFunc(ended, func(a, b *request) int { return a.began.Compare(b.began) })
	known := make(map[place]bool)
	asked := make(map[CauseCount]int)
	counts := make(map[CauseCount]int)
	for _, r := range ended {
		key := CauseCount{Route: r.route}
		if every > 0 {
			key.From = r.began.Truncate(every)
		}
		asked[key]++
		if key.Cause, key.Reason = r.cause(known); key.Cause != "" {
			counts[key]++
		}
		r.learn(known)
	}
	list := make([]CauseCount, 0, len(counts))
	for key, n := range counts {
		key.N, key.Asked = n, asked[CauseCount{Route: key.Route, From: key.From}]
		list = append(list, key)
	}
	slices.SortFunc(list, func(a, b CauseCount) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(b.N, a.N), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// request is what a line says of one that has ended.
type request struct {
	answered                      bool
	began                         time.Time
	route, object, target         string
	reason                        string
	took, objective, behind, trip time.Duration
	tries, ahead, slots           int
	owner                         bool
}

// place is an object at an upstream, or anywhere.
type place struct{ route, object, target string }

// requestOf returns what a line says of a request that has ended, or nil.
func requestOf(l *Line) *request {
	if l.Event != "RequestAnswered" && l.Event != "RequestGivenUp" {
		return nil
	}
	r := &request{
		answered: l.Event == "RequestAnswered", route: l.Get("Route"), object: l.Get("Object"), target: l.Get("Target"), reason: l.Get("Reason"),
		took: l.millis("TookMs"), objective: l.millis("ObjectiveMs"), behind: l.millis("BehindMs"), trip: l.millis("TripMs"),
		tries: l.number("Tries"), ahead: l.number("Ahead"), slots: l.number("Slots"), owner: l.Get("Owner") == "true",
	}
	r.began = l.Time.Add(-r.took)
	return r
}

// number returns a field's number, 0 where it has none.
func (l *Line) number(name string) int {
	n, err := strconv.Atoi(strings.TrimSpace(l.Get(name)))
	if err != nil {
		return 0
	}
	return n
}

func (l *Line) millis(name string) time.Duration {
	return time.Duration(l.number(name)) * time.Millisecond
}

// cause returns why a request was not answered in time, "" where it was.
func (r *request) cause(known map[place]bool) (Cause, string) {
	switch {
	case !r.answered:
		return r.givenUp()
	case r.objective == 0 || r.took <= r.objective:
		return "", ""
	case r.took-r.behind <= r.objective:
		return CauseBehind, ""
	case r.tries > 1:
		return CauseRetried, ""
	case r.took-r.behind-r.trip <= r.objective:
		return CauseDistance, ""
	}
	if r.object != "" && !known[place{r.route, r.object, r.target}] {
		switch {
		case !known[place{r.route, r.object, ""}]:
			return CauseNewEverywhere, ""
		case !r.owner:
			return CauseSpilled, ""
		default:
			return CauseOwnerChanged, ""
		}
	}
	if r.slots > 0 && r.ahead >= r.slots {
		return CauseQueue, ""
	}
	return CauseSlow, ""
}

func (r *request) givenUp() (Cause, string) {
	switch r.reason {
	case "Canceled":
		return CauseCallerLeft, ""
	case "Deadline", "Broken", "Unreachable", "Misdirected":
		return CauseFailed, r.reason
	case "NoSuchService":
		return "", "" // It is not owed an answer.
	default:
		return CauseRefused, r.reason
	}
}

// learn notes where the object is known from now on.
func (r *request) learn(known map[place]bool) {
	if r.answered && r.object != "" {
		known[place{r.route, r.object, r.target}] = true
		known[place{r.route, r.object, ""}] = true
	}
}
