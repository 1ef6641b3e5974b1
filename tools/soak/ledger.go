package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is what callers and upstreams observed of one request.
type entry struct {
	atMostOnce bool // Must run at most once.
	probe      bool // Probes the rules in force; 404 is a valid response.
	poison     bool // Crashes each upstream that runs it.
	home       bool // May run only in region n.
	split      bool // Goes to one of two services by weights.
	other      bool // The upstream that it arrived at first is of the second service.
	status     int  // 0 if no complete response was received.
	intact     bool // The response is complete and belongs to the request.
	arrivals   int  // Arrivals at upstreams, including refused ones.
	ran        int
	late       bool
	unanswered bool // The connection ended without a response before anything but the VM could end it.
	canceled   bool // The caller left, or the request followed a response that closed the connection.
	at         time.Time
	// vm is the VM that received the request, and process its process at that time.
	vm, process string
}

// ledger records all requests as observed by callers and upstreams.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*entry
	// repeats are the times of arrivals after the first one of each request.
	repeats []time.Time
	// unexpected is the other output of upstreams, such as the error of an unexpected exit.
	unexpected []string
	upstreams  map[string]*incarnationLog // By incarnation.
	// otherFrom is the number of the first upstream of the second service; 0: there is none.
	otherFrom int
	colds     map[coldKey][]coldArrival
	checks    map[string][]time.Time // Health checks by upstream.
	takenBack map[string][]time.Time // When the evacuations of an upstream's zone ended.
}

func newLedger() *ledger {
	return &ledger{
		entries: make(map[string]*entry), upstreams: make(map[string]*incarnationLog),
		colds: make(map[coldKey][]coldArrival), checks: make(map[string][]time.Time), takenBack: make(map[string][]time.Time),
	}
}

func (l *ledger) entry(id string) *entry {
	e := l.entries[id]
	if e == nil {
		e = &entry{}
		l.entries[id] = e
	}
	return e
}

// recordRequest records a request before it is sent.
func (l *ledger) recordRequest(id string, v *vm, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.atMostOnce, e.at = once, time.Now()
	e.vm, e.process = v.name, fmt.Sprint(v.name, "/", v.starts.Load())
}

// recordProbe records a probe of the rules in force before it is sent.
func (l *ledger) recordProbe(id string, v *vm) {
	l.recordRequest(id, v, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).probe = true
}

// recordPoison records a poison request before it is sent.
func (l *ledger) recordPoison(id string, v *vm) {
	l.recordProbe(id, v)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).poison = true
}

// recordHome records that a request may run only in the home of its route.
func (l *ledger) recordHome(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).home = true
}

// recordSplit records that a request goes to the split route.
func (l *ledger) recordSplit(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).split = true
}

// poisonRuns returns how often upstreams have started to run a poison request.
func (l *ledger) poisonRuns() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.poison {
			n += e.ran
		}
	}
	return n
}

// recordCanceled records requests whose caller no longer waits for a response.
func (l *ledger) recordCanceled(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.entry(id).canceled = true
	}
}

// recordUnanswered records a request whose connection ended without a response.
func (l *ledger) recordUnanswered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).unanswered = true
}

// recordResponse records the response that the caller received.
func (l *ledger) recordResponse(id string, status int, intact bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.status, e.intact = status, intact
}

// parseLine records a line of an upstream's output.
func (l *ledger) parseLine(line string) {
	what, id, _ := strings.Cut(line, " ")
	l.mu.Lock()
	defer l.mu.Unlock()
	switch what {
	case "Got":
		id, rest, _ := strings.Cut(id, " ")
		l.recordArrival(id, rest)
		e := l.entry(id)
		if e.arrivals++; e.arrivals > 1 {
			l.repeats = append(l.repeats, time.Now())
		}
	case "Cold":
		l.recordCold(id)
	case "Checked":
		l.recordCheck(id)
	case "Ran":
		l.entry(id).ran++
	case "Said":
		l.recordNotice(id)
	case "Late":
		l.entry(id).late = true
	default:
		l.unexpected = append(l.unexpected, line)
	}
}

// result is the outcome of a seed.
type result struct {
	seed              uint64
	requests, served  int
	refused, failed   int
	reruns            int
	faults            []string
	broken            []string
	lastAsked, lastOK int

	probed, versions, repeats int
	restores, cuts, kills     int
	colds, mostCold           int // Turns to cold, and the most requests at a cold upstream in a second.
	checks, mostChecks        int // Health checks, and the most at an upstream in a second.
	poisoned                  int // Runs of poison requests.
	began                     time.Time
	injected                  []injectedFault
	seconds                   []second
}

// recoveryShare is the smallest fraction of requests that must be served after all faults
// are over.
const recoveryShare = 0.9

// judge checks the guarantees. calm is the time after which the fleet must have recovered
// from all faults.
func (l *ledger) judge(r *result, calm time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []time.Time
	broke := func(how, id string) { r.broken = append(r.broken, how+": request "+id) }
	for id, e := range l.entries {
		if e.at.IsZero() {
			broke("an upstream received a request that no caller sent", id)
			continue
		}
		requests = append(requests, e.at)
		if e.probe {
			continue
		}
		r.requests++
		switch {
		case e.status == 200:
			r.served++
		case e.status == 503:
			r.refused++
		default:
			r.failed++
		}
		r.reruns += max(0, e.ran-1)
		if e.status == 200 && !e.intact {
			broke("the response was incomplete or another request's", id)
		}
		if e.status == 200 && e.ran == 0 {
			broke("a response arrived though no upstream ran the request", id)
		}
		if e.atMostOnce && e.ran > 1 {
			broke(fmt.Sprintf("ran %d times, may run at most once", e.ran), id)
		}
		if e.atMostOnce && (e.status == 503 || e.status == 429) && e.ran > 0 {
			broke("refused as not run, but ran", id)
		}
		if e.status == 404 {
			broke("404 for a route that all versions have", id)
		}
		if e.unanswered && e.ran > 0 {
			broke("an upstream ran it and its connection ended without a response", id)
		}
		if e.late {
			broke("reached an upstream long after it had registered as draining", id)
		}
		if e.at.After(calm) && !e.canceled {
			r.lastAsked++
			if e.status == 200 {
				r.lastOK++
			}
		}
	}
	r.broken = append(r.broken, l.judgePoison(r, calm)...)
	if float64(r.lastOK) < recoveryShare*float64(r.lastAsked) || r.lastAsked == 0 {
		r.broken = append(r.broken, fmt.Sprintf("%d of %d requests served after all faults were over", r.lastOK, r.lastAsked))
	}
	r.repeats, r.seconds = len(l.repeats), l.bySeconds(r.began)
	r.broken = append(r.broken, judgeRetries(requests, l.repeats)...)
	for _, line := range l.unexpected {
		r.broken = append(r.broken, "an upstream wrote: "+line)
	}
	slices.Sort(r.broken)
}

// A request that has crashed poisonCrashes upstreams must no longer be sent to any. How soon
// all VMs know this depends on the faults. After these are over all VMs must know it, so at
// most maxLatePoison poison requests may reach upstreams.
const (
	poisonCrashes = 3
	maxLatePoison = 3
)

// judgePoison checks how often poison requests reached upstreams after calm.
func (l *ledger) judgePoison(r *result, calm time.Time) (broken []string) {
	late := 0
	for _, e := range l.entries {
		if !e.poison {
			continue
		}
		r.poisoned += e.ran
		if e.at.After(calm) {
			late += e.arrivals
		}
	}
	if r.poisoned-late >= poisonCrashes && late > maxLatePoison {
		broken = append(broken, fmt.Sprintf("the poison request, after %d runs at upstreams, reached upstreams %d more times after all faults were over", r.poisoned-late, late))
	}
	return broken
}

func (r *result) print(w io.Writer) {
	verdict := "kept"
	if len(r.broken) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d requests, %d served, %d refused, %d failed, %d runs repeated, %d of %d served at the end; %s; faults: %s\n",
		r.seed, verdict, r.requests, r.served, r.refused, r.failed, r.reruns, r.lastOK, r.lastAsked, r.checkCounts(), summary(r.faults))
	for _, line := range r.broken[:min(len(r.broken), 10)] {
		fmt.Fprintf(w, "  %s\n", line)
	}
}

// summary counts faults by kind.
func summary(faults []string) string {
	counts := make(map[string]int)
	for _, f := range faults {
		counts[f]++
	}
	var list []string
	for f, n := range counts {
		list = append(list, fmt.Sprintf("%s %d", f, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
