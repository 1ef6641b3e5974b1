package logline

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cause is the reason why a request was not answered in time.
type Cause string

// A request has the first of these causes that explains it.
const (
	// CauseRefused: it was rejected and sent to no upstream. The Reason says why.
	CauseRefused Cause = "Refused"
	// CauseFailed: it was sent to an upstream and got no response.
	CauseFailed Cause = "Failed"
	// CauseCallerLeft: its caller canceled it.
	CauseCallerLeft Cause = "CallerLeft"
	// CauseBehind: its response was ready in time but had to wait for the responses to
	// earlier pipelined requests on its connection.
	CauseBehind Cause = "Behind"
	// CauseOverdue: the first upstream did not respond in the usual time, so it was sent to a
	// second one as well.
	CauseOverdue Cause = "Overdue"
	// CauseRetried: the first upstream did not serve it, so it was sent again.
	CauseRetried Cause = "Retried"
	// CauseDistance: without the round trip to the upstream it would have been in time.
	CauseDistance Cause = "Distance"
	// CauseNewEverywhere: no upstream had served its object before.
	CauseNewEverywhere Cause = "NewEverywhere"
	// CauseSpilled: it went to another upstream than its owner, which had no free slot,
	// and its object was new there.
	CauseSpilled Cause = "Spilled"
	// CauseOwnerChanged: its object was new to its owner but not to another upstream.
	CauseOwnerChanged Cause = "OwnerChanged"
	// CauseQueue: the upstream was known to have at least as many requests as slots.
	CauseQueue Cause = "Queue"
	// CauseSlowByReport: the upstream reported that work took longer there than usual, and it
	// would have been in time at the usual pace.
	CauseSlowByReport Cause = "SlowByReport"
	// CauseSlow: none of the above. The upstream was slow, had more load than the VM
	// knew of, or had evicted the object.
	CauseSlow Cause = "Slow"
)

// CauseCount is the number of requests of a route that had a cause in a period of time.
type CauseCount struct {
	Route string
	Cause Cause
	// Reason is the reason of a refusal or failure.
	Reason string
	// From is the start of the period, zero if there is one period for all lines.
	From time.Time
	// N is the number of requests.
	N int
	// Asked is the number of all requests of the route in that period.
	Asked int
}

// Causes assigns one cause to each request that was not answered within its route's
// objective, and counts the requests by route and cause, the most frequent first. If period
// is above 0, it counts each period of that length separately. Lines that VMs dropped are
// missing, so the counts are lower bounds.
func Causes(lines []Line, period time.Duration) []CauseCount {
	requests := make([]*request, 0, len(lines))
	for i := range lines {
		if r := parseRequest(&lines[i]); r != nil {
			requests = append(requests, r)
		}
	}
	slices.SortStableFunc(requests, func(a, b *request) int { return a.began.Compare(b.began) })
	seen := make(map[objectAt]bool)
	asked := make(map[CauseCount]int)
	counts := make(map[CauseCount]int)
	for _, r := range requests {
		key := CauseCount{Route: r.route}
		if period > 0 {
			key.From = r.began.Truncate(period)
		}
		asked[key]++
		if key.Cause, key.Reason = r.cause(seen); key.Cause != "" {
			counts[key]++
		}
		r.markSeen(seen)
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

// request is a request that has ended, as logged.
type request struct {
	answered              bool
	began                 time.Time
	route, object, target string
	reason                string
	// objective is the route's latency objective, 0 if it is not logged. pipelineWait is
	// the wait for earlier responses on the caller's connection, and rtt the round trip
	// to the upstream.
	took, objective, pipelineWait, rtt time.Duration
	// inFlight is the number of requests that the upstream was believed to have.
	tries, inFlight, slots int
	owner, sentTwice       bool
	// pace is how long work took at the upstream relative to the usual time, as it reported in its
	// response; 0: not reported.
	pace float64
}

// objectAt is an object of a route at an upstream, or at any if target is empty.
type objectAt struct{ route, object, target string }

// parseRequest returns the request whose end a line logs, or nil if it logs none.
func parseRequest(l *Line) *request {
	if l.Event != "RequestAnswered" && l.Event != "RequestGivenUp" {
		return nil
	}
	r := &request{
		answered: l.Event == "RequestAnswered", route: l.Get("Route"), object: l.Get("Object"), target: l.Get("Target"), reason: l.Get("Reason"),
		took: l.millis("TookMs"), objective: l.millis("ObjectiveMs"), pipelineWait: l.millis("BehindMs"), rtt: l.millis("TripMs"),
		tries: l.number("Tries"), inFlight: l.number("Ahead"), slots: l.number("Slots"), owner: l.Get("Owner") == "true", pace: l.decimal("Pace"),
		sentTwice: l.Get("SentTwice") == "true",
	}
	r.began = l.Time.Add(-r.took)
	return r
}

// number returns the integer in a field, or 0 if it is missing or no integer.
func (l *Line) number(name string) int {
	n, err := strconv.Atoi(strings.TrimSpace(l.Get(name)))
	if err != nil {
		return 0
	}
	return n
}

// decimal returns the number in a field, or 0 if it is missing or no number.
func (l *Line) decimal(name string) float64 {
	x, err := strconv.ParseFloat(strings.TrimSpace(l.Get(name)), 64)
	if err != nil {
		return 0
	}
	return x
}

func (l *Line) millis(name string) time.Duration {
	return time.Duration(l.number(name)) * time.Millisecond
}

// cause returns why a request was not answered in time and the reason of a refusal or
// failure, or "" if it was in time. seen has the objects of earlier requests.
func (r *request) cause(seen map[objectAt]bool) (Cause, string) {
	switch {
	case !r.answered:
		return r.failureCause()
	case r.objective == 0 || r.took <= r.objective:
		return "", ""
	case r.took-r.pipelineWait <= r.objective:
		return CauseBehind, ""
	case r.sentTwice:
		return CauseOverdue, ""
	case r.tries > 1:
		return CauseRetried, ""
	case r.took-r.pipelineWait-r.rtt <= r.objective:
		return CauseDistance, ""
	}
	if r.object != "" && !seen[objectAt{r.route, r.object, r.target}] {
		switch {
		case !seen[objectAt{r.route, r.object, ""}]:
			return CauseNewEverywhere, ""
		case !r.owner:
			return CauseSpilled, ""
		default:
			return CauseOwnerChanged, ""
		}
	}
	if r.slots > 0 && r.inFlight >= r.slots {
		return CauseQueue, ""
	}
	if work := r.took - r.pipelineWait - r.rtt; r.pace > 1 && time.Duration(float64(work)/r.pace)+r.rtt <= r.objective {
		return CauseSlowByReport, ""
	}
	return CauseSlow, ""
}

// failureCause returns why a request got no response.
func (r *request) failureCause() (Cause, string) {
	switch r.reason {
	case "Canceled":
		return CauseCallerLeft, ""
	case "Deadline", "Broken", "Unreachable", "Misdirected":
		return CauseFailed, r.reason
	case "NoSuchService":
		return "", "" // Not counted, as no service has to answer it.
	default:
		return CauseRefused, r.reason
	}
}

// markSeen adds the request's object if the upstream has served it.
func (r *request) markSeen(seen map[objectAt]bool) {
	if r.answered && r.object != "" {
		seen[objectAt{r.route, r.object, r.target}] = true
		seen[objectAt{r.route, r.object, ""}] = true
	}
}
