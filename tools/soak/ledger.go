package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is what is known of one request.
type entry struct {
	once   bool // Must run at most once.
	probe  bool // Asks which rules are in force; 404 is a right answer.
	poison bool // Ends each upstream that runs it.
	status int  // 0: no whole answer.
	whole  bool // The answer is the request's own and whole.
	got    int  // Arrivals at upstreams, refused ones included.
	ran    int
	late   bool
	left   bool // Its caller left, or it stood unread behind an answer that closes.
	at     time.Time
	// vm is the VM that was asked, and process its process at that moment.
	vm, process string
}

// ledger has all requests, from what callers and upstreams saw.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*entry
	// repeats are the arrivals beyond the first of each request.
	repeats []time.Time
	// other is what upstreams wrote besides: why they ended, if by themselves.
	other []string
	heard map[string]*heard // By upstreams' incarnations.
}

func newLedger() *ledger {
	return &ledger{entries: make(map[string]*entry), heard: make(map[string]*heard)}
}

func (l *ledger) entry(id string) *entry {
	e := l.entries[id]
	if e == nil {
		e = &entry{}
		l.entries[id] = e
	}
	return e
}

// asked notes a request before it is sent.
func (l *ledger) asked(id string, v *vm, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.once, e.at = once, time.Now()
	e.vm, e.process = v.name, fmt.Sprint(v.name, "/", v.lives.Load())
}

// probed notes a question which rules are in force, before it is sent.
func (l *ledger) probed(id string, v *vm) {
	l.asked(id, v, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).probe = true
}

// poisoned notes a request that ends upstreams, before it is sent.
func (l *ledger) poisoned(id string, v *vm) {
	l.probed(id, v)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(id).poison = true
}

// poisonRuns returns how many upstreams have begun to run such a request.
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

// left notes requests whose answers nobody is owed.
func (l *ledger) left(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.entry(id).left = true
	}
}

// answered notes what the caller got.
func (l *ledger) answered(id string, status int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.status, e.whole = status, whole
}

// ran takes in a line of an upstream.
func (l *ledger) ran(line string) {
	what, id, _ := strings.Cut(line, " ")
	l.mu.Lock()
	defer l.mu.Unlock()
	switch what {
	case "Got":
		id, rest, _ := strings.Cut(id, " ")
		l.took(id, rest)
		e := l.entry(id)
		if e.got++; e.got > 1 {
			l.repeats = append(l.repeats, time.Now())
		}
	case "Ran":
		l.entry(id).ran++
	case "Said":
		l.tell(id)
	case "Late":
		l.entry(id).late = true
	default:
		l.other = append(l.other, line)
	}
}

// result is what a seed has shown.
type result struct {
	seed              uint64
	requests, served  int
	refused, failed   int
	repeated          int
	faults            []string
	broken            []string
	lastAsked, lastOK int

	probed, versions, sentAgain int
	poisoned                    int // Runs of the request that ends upstreams.
	began                       time.Time
	moments                     []moment
	seconds                     []second
}

// recoveryShare is the least part of requests that must be served once all
// faults are over.
const recoveryShare = 0.9

// judge checks the promises. calm is when all faults had been over for long
// enough.
func (l *ledger) judge(r *result, calm time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []time.Time
	broke := func(promise, id string) { r.broken = append(r.broken, promise+": request "+id) }
	for id, e := range l.entries {
		if e.at.IsZero() {
			broke("an upstream ran what nobody asked", id)
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
		r.repeated += max(0, e.ran-1)
		if e.status == 200 && !e.whole {
			broke("an answer was not whole or not the request's own", id)
		}
		if e.status == 200 && e.ran == 0 {
			broke("an answer came though nothing ran", id)
		}
		if e.once && e.ran > 1 {
			broke(fmt.Sprintf("ran %d times and may run once", e.ran), id)
		}
		if e.once && (e.status == 503 || e.status == 429) && e.ran > 0 {
			broke("refused as not run, and ran", id)
		}
		if e.status == 404 {
			broke("404 for a route that all versions have", id)
		}
		if e.late {
			broke("reached an upstream long after it had said that it leaves", id)
		}
		if e.at.After(calm) && !e.left {
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
	r.sentAgain, r.seconds = len(l.repeats), l.bySeconds(r.began)
	r.broken = append(r.broken, judgeRetries(requests, l.repeats)...)
	for _, line := range l.other {
		r.broken = append(r.broken, "an upstream wrote: "+line)
	}
	slices.Sort(r.broken)
}

// Once a request has ended three upstreams it must not be sent on. How soon all VMs know
// depends on the faults; once these are over they must, wherever it comes back.
const (
	poisonEnds  = 3
	poisonAfter = 3
)

// judgePoison checks how often the request that ends upstreams reached any.
func (l *ledger) judgePoison(r *result, calm time.Time) (broken []string) {
	late := 0
	for _, e := range l.entries {
		if !e.poison {
			continue
		}
		r.poisoned += e.ran
		if e.at.After(calm) {
			late += e.got
		}
	}
	if r.poisoned-late >= poisonEnds && late > poisonAfter {
		broken = append(broken, fmt.Sprintf("a request under which %d upstreams had ended reached upstreams %d times more after all faults were over", r.poisoned-late, late))
	}
	return broken
}

func (r *result) print(w io.Writer) {
	verdict := "kept"
	if len(r.broken) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d requests, %d served, %d refused, %d failed, %d runs repeated, %d of %d served at the end; %s; faults: %s\n",
		r.seed, verdict, r.requests, r.served, r.refused, r.failed, r.repeated, r.lastOK, r.lastAsked, r.promises(), summary(r.faults))
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
