package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnlatch/platform/standin"
)

// What upstreams say of themselves, and what may reach them then.
const (
	// noticeEvery is the mean time between two upstreams that begin to say something.
	noticeEvery = 1500 * time.Millisecond
	// limitWindow is the span over which an upstream that names a limit counts. It bears
	// half again as much, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	limitNamed  = 4
	// leaveWithin is the bound after which an upstream that leaves gets nothing new.
	leaveWithin = 2500 * time.Millisecond
	// pauseFor is for how long upstreams want to be left alone, and maxInPause how many
	// requests a VM may send in it.
	pauseFor   = 1500 * time.Millisecond
	maxInPause = 2
	// knownAfter is when a VM has to know what an answer that it passed on said.
	knownAfter = 500 * time.Millisecond
	// excusedFor is how long after a pause or a path's fault nothing is held against a VM or
	// an upstream: what was held up arrives at once.
	excusedFor = 4 * time.Second
)

// notices has upstreams say things of themselves, on a schedule that a seed gives.
type notices struct {
	fleet *fleet
	chaos *chaos
	rnd   *rand.Rand
	wait  sync.WaitGroup
}

// run has upstreams say things until the end and returns when none says any more.
func (n *notices) run(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		which := n.rnd.IntN(1000)
		u := n.fleet.upstream(which)
		switch n.rnd.IntN(3) {
		case 0:
			n.wait.Go(func() { u.limited(ctx, excusedFor+faultFor) })
		case 1:
			n.wait.Go(func() { n.leaving(ctx, which) })
		case 2:
			n.wait.Go(func() { u.pausing(ctx, excusedFor) })
		}
		<-time.After(time.Duration(n.rnd.ExpFloat64() * float64(noticeEvery)))
	}
	n.wait.Wait()
}

// limited has the upstream name a limit for a while.
func (u *upstreamProc) limited(ctx context.Context, d time.Duration) {
	u.say(ctx, "limit", strconv.Itoa(limitNamed))
	<-time.After(d)
	u.say(ctx, "limit", "")
}

// pausing has the upstream turn all requests away for a while and ask for pauses.
func (u *upstreamProc) pausing(ctx context.Context, d time.Duration) {
	u.say(ctx, "pause", strconv.FormatFloat(pauseFor.Seconds(), 'f', -1, 64))
	<-time.After(d)
	u.say(ctx, "pause", "")
}

// leaving has an upstream say that it leaves, and ends it after a while.
func (n *notices) leaving(ctx context.Context, which int) {
	lock := n.chaos.lock("upstream", which)
	lock.Lock()
	defer lock.Unlock()
	u := n.fleet.upstream(which)
	u.say(ctx, "leaving", "1")
	<-time.After(leaveWithin + faultFor)
	n.chaos.failed("leaving", u.restart(syscall.SIGKILL))
}

// say tells the upstream what to say of itself. One that is down says nothing.
func (u *upstreamProc) say(ctx context.Context, what, value string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%s", u.listen, standin.SayPath, what, value), http.NoBody)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// span is a time in which something was not itself.
type span struct{ from, to time.Time }

// excuses are the spans for which VMs and upstreams are excused, by name.
type excuses struct {
	mu    sync.Mutex
	spans map[string][]span
}

// begin excuses a process from now on; the function returned ends that.
func (e *excuses) begin(name string) (end func()) {
	from := time.Now()
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.spans == nil {
			e.spans = make(map[string][]span)
		}
		e.spans[name] = append(e.spans[name], span{from, time.Now().Add(excusedFor)})
	}
}

// at reports whether a process is excused at a moment.
func (e *excuses) at(name string, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.spans[name], func(s span) bool { return !at.Before(s.from) && !at.After(s.to) })
}

// said is something that an upstream said of itself to a VM.
type said struct {
	what  string
	value float64
	at    time.Time
}

// arrival is a request at an upstream.
type arrival struct {
	at time.Time
	e  *entry
}

// heard is what passed between the VMs and one incarnation of an upstream.
type heard struct {
	arrivals []arrival
	said     map[string][]said // By process of a VM.
}

// upstream returns what passed between VMs and an incarnation.
func (l *ledger) upstream(name string) *heard {
	h := l.heard[name]
	if h == nil {
		h = &heard{said: make(map[string][]said)}
		l.heard[name] = h
	}
	return h
}

// took notes that a request arrived at an incarnation of an upstream: the upstream and when, by
// the upstream's clock. Lines may be read later than they are written.
func (l *ledger) took(id, line string) {
	var upstream string
	var nanos int64
	if _, err := fmt.Sscan(line, &upstream, &nanos); err != nil {
		l.other = append(l.other, line)
		return
	}
	h := l.upstream(upstream)
	h.arrivals = append(h.arrivals, arrival{time.Unix(0, nanos), l.entry(id)})
}

// tell takes in what an upstream said in its answer to a request: its ID, the upstream, what, a
// value and when.
func (l *ledger) tell(line string) {
	var id, upstream string
	var s said
	var nanos int64
	if _, err := fmt.Sscan(line, &id, &upstream, &s.what, &s.value, &nanos); err != nil {
		l.other = append(l.other, line)
		return
	}
	s.at = time.Unix(0, nanos)
	h, vm := l.upstream(upstream), l.entry(id).process
	h.said[vm] = append(h.said[vm], s)
}

// judgeNotices checks what reached upstreams that said something of themselves.
func (l *ledger) judgeNotices(x *excuses) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, h := range l.heard {
		if n := h.overLimit(x, upstreamOf(name)); n > 0 {
			broken = append(broken, fmt.Sprintf("upstream %s named a limit of %d a second and got %d requests in %v", name, limitNamed, n, limitWindow))
		}
		if n, vm, at := h.inPause(x, upstreamOf(name)); n > 0 {
			broken = append(broken, fmt.Sprintf("upstream %s asked %s for a pause of %v at %s and got %d requests of it",
				name, vm, pauseFor, at.Format("15:04:05.000"), n))
		}
		if n := h.afterLeaving(x); n > 0 {
			broken = append(broken, fmt.Sprintf("upstream %s said that it leaves and got %d requests of VMs that it had told", name, n))
		}
	}
	slices.Sort(broken)
	return broken
}

// upstreamOf is the name of the process of an incarnation.
func upstreamOf(incarnation string) string {
	f := strings.Split(incarnation, "-")
	if len(f) < 2 {
		return incarnation
	}
	return "upstream-" + f[1]
}

// overLimit returns the most requests in a window that are more than the limit allows, 0 if
// none are: of those that arrived within a time in which the upstream named it, of VMs that
// had heard it, later than a window after it was first named.
func (h *heard) overLimit(x *excuses, upstream string) int {
	var first, last time.Time
	for _, list := range h.said {
		for _, s := range list {
			if s.what == "limit" && (first.IsZero() || s.at.Before(first)) {
				first = s.at
			}
			if s.what == "limit" && s.at.After(last) {
				last = s.at
			}
		}
	}
	var bound []time.Time
	for _, a := range h.arrivals {
		if h.told(a) && !a.at.After(last) && !x.at(upstream, a.at) && !x.at(a.e.vm, a.at) {
			bound = append(bound, a.at)
		}
	}
	slices.SortFunc(bound, time.Time.Compare)
	most, from := 0, 0
	for i, at := range bound {
		for at.Sub(bound[from]) > limitWindow {
			from++
		}
		if at.Sub(first) >= limitWindow {
			most = max(most, i-from+1)
		}
	}
	if float64(most) <= limitExcess*limitNamed*limitWindow.Seconds()+limitSlack {
		return 0
	}
	return most
}

// afterLeaving returns how many requests arrived that were made later than leaveWithin after
// their VM had passed on that the upstream leaves.
func (h *heard) afterLeaving(x *excuses) (n int) {
	for _, a := range h.arrivals {
		late := slices.ContainsFunc(h.said[a.e.process], func(s said) bool {
			return s.what == "leaving" && a.e.at.Sub(s.at) > leaveWithin
		})
		if late && !x.at(a.e.vm, a.at) {
			n++
		}
	}
	return n
}

// inPause returns the most requests of one VM's process in a pause that it was asked for at a
// moment, 0 if none are more than it may send.
func (h *heard) inPause(x *excuses, upstream string) (most int, vm string, at time.Time) {
	for process, list := range h.said {
		for _, s := range list {
			if s.what != "pause" {
				continue
			}
			from, to := s.at.Add(knownAfter), s.at.Add(time.Duration(s.value*float64(time.Second)))
			n := 0
			for _, a := range h.arrivals {
				if a.e.process == process && a.at.After(from) && a.at.Before(to) && !x.at(a.e.vm, a.at) && !x.at(upstream, a.at) {
					n++
				}
			}
			if n > max(most, maxInPause) {
				most, vm, at = n, process, s.at
			}
		}
	}
	return most, vm, at
}

// told reports whether the VM that sent a request had heard of a limit long enough before.
func (h *heard) told(a arrival) bool {
	return slices.ContainsFunc(h.said[a.e.process], func(s said) bool {
		return s.what == "limit" && a.at.Sub(s.at) >= knownAfter
	})
}
