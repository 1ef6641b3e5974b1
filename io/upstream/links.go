package upstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/reach"
	"auburnlatch/core/verdict"
	"auburnlatch/io/lifecycle"
)

const (
	// checkTimeout bounds a check whether the VM reaches any upstream: a connection and a
	// response across regions.
	checkTimeout = 450 * time.Millisecond
	// checkStagger is the time between the starts of a check's probes: most checks end with the
	// first one, and need no second connection.
	checkStagger = 50 * time.Millisecond
	// recheckTargets is how many upstreams a VM that is cut off tries at a time.
	recheckTargets = 2
	awaitTick      = 50 * time.Millisecond
)

// Probe attempts to have the wanted contact with an upstream, until ctx ends, and returns the one
// that it had.
type Probe func(ctx context.Context, wanted reach.Contact) reach.Contact

// LinkObserver knows the upstreams, and acts when the VM loses or regains its links to them.
type LinkObserver interface {
	// Probes returns probes of up to n different upstreams, the nearest first. Those for which
	// failed returns true come last.
	Probes(n int, failed func(addr string) bool) []Probe
	// LinksLost is called when the VM is cut off, after a check of a number of upstreams.
	LinksLost(ctx context.Context, now time.Time, checked int)
	// LinksRegained is called when it is no longer cut off since lostAt.
	LinksRegained(ctx context.Context, now, lostAt time.Time)
}

// Links finds out whether the VM is cut off from all upstreams, by its requests and by checks.
type Links struct {
	observer LinkObserver
	monitor  reach.Monitor
	wake     chan struct{} // Signals that a check may be due.
	// silent ends the wait for responses that will hardly come.
	silent     lifecycle.Broadcast
	confirming sync.Mutex
	checks     atomic.Int64
	lostAt     atomic.Int64 // In Unix nanoseconds.
}

// NewLinks returns Links that are assumed to be up.
func NewLinks(o LinkObserver) *Links { return &Links{observer: o, wake: make(chan struct{}, 1)} }

// CutOff reports whether the VM reaches no upstream.
func (l *Links) CutOff() bool { return l.monitor.CutOff() }

// Disturbed reports whether the VM was cut off at any time since began.
func (l *Links) Disturbed(began time.Time) bool { return l.monitor.Disturbed(began) }

// Checks returns the number of checks so far.
func (l *Links) Checks() int64 { return l.checks.Load() }

// errLinksLost is the cause of the failure of a request that waited for a response when the VM lost
// its links.
var errLinksLost = errors.New("the VM has lost its links to the upstreams")

// Do has send send a request to an upstream and return its response. If giveUp is set and the VM
// loses its links, the request is given up, so that it can be sent again. A nil Links never is
// cut off.
func (l *Links) Do(ctx context.Context, giveUp bool, send func(context.Context) (*http.Response, error)) (*http.Response, error) {
	if l == nil || !giveUp {
		return send(ctx)
	}
	waitCtx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(l.silent.Context(), cancel)()
	resp, err := send(waitCtx)
	if err == nil || waitCtx.Err() == nil || ctx.Err() != nil {
		return resp, err
	}
	if verdict.Of(err) == verdict.NotRun {
		return nil, verdict.Wrap(errLinksLost, verdict.NotRun, verdict.ReasonUnreachable, defaultRetryAfter)
	}
	return nil, verdict.Wrap(errLinksLost, verdict.MaybeRan, verdict.ReasonBroken, defaultRetryAfter)
}

// Begin records that a request is sent to an upstream.
func (l *Links) Begin(now time.Time) {
	if l.monitor.Begin(now) {
		l.signal()
	}
}

// End records the outcome of sending a request to addr, of which opened says that it needed a new
// connection. A new connection that is lost before a response counts as one that could not be
// opened.
func (l *Links) End(began, now time.Time, addr string, opened bool, err error) {
	if err == nil {
		l.monitor.Answered(now, now.Sub(began), opened)
	}
	l.monitor.End(now)
	if err == nil {
		return
	}
	reason := verdict.As(err).Reason
	if reason != verdict.ReasonUnreachable && (reason != verdict.ReasonBroken || !opened) {
		return
	}
	if l.monitor.Failed(now, addr) {
		l.signal()
	}
}

// signal wakes the loop.
func (l *Links) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Loop checks when a check is due, until ctx ends.
func (l *Links) Loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
		wait, due := l.monitor.CheckDue(time.Now())
		for due && ctx.Err() == nil {
			l.check(ctx)
			wait, due = l.monitor.CheckDue(time.Now())
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// check attempts to reach a few upstreams.
func (l *Links) check(ctx context.Context) {
	began, n := time.Now(), reach.CheckTargets
	if l.monitor.CutOff() {
		n = recheckTargets
	}
	l.checks.Add(1)
	probes := l.observer.Probes(n, l.monitor.HasFailed)
	found := contact(ctx, probes, reach.Heard)
	if ctx.Err() != nil {
		return
	}
	switch now := time.Now(); l.monitor.Checked(now, began, found, len(probes)) {
	case reach.Lost:
		l.lostAt.Store(now.UnixNano())
		l.observer.LinksLost(ctx, now, len(probes))
		if l.monitor.Silent(now) {
			l.silent.Signal()
		}
		l.signal() // Confirm may have found it, while the loop waits for a request.
	case reach.Regained:
		l.observer.LinksRegained(ctx, now, time.Unix(0, l.lostAt.Load()))
	case reach.Unchanged:
	}
}

// Confirm reports whether other upstreams accept connections, by one that the VM began to open
// after since. If there is none, it tries. That suffices where the connection in question was
// refused. Calls are serialized, as one connection answers all.
func (l *Links) Confirm(ctx context.Context, since time.Time) bool {
	l.confirming.Lock()
	defer l.confirming.Unlock()
	if l.monitor.CutOff() || l.monitor.ReachedSince(since) {
		return !l.monitor.CutOff()
	}
	began := time.Now()
	if contact(ctx, l.observer.Probes(reach.CheckTargets, l.monitor.HasFailed), reach.Accepted) >= reach.Accepted {
		l.monitor.Reached(began)
		return true
	}
	l.check(ctx)
	return !l.monitor.CutOff()
}

// Await waits until the VM reaches an upstream, or ctx ends.
func (l *Links) Await(ctx context.Context) {
	for l.monitor.CutOff() && lifecycle.Sleep(ctx, awaitTick) {
	}
}

// contact returns the first wanted contact of the probes, or else the highest.
func contact(ctx context.Context, probes []Probe, wanted reach.Contact) reach.Contact {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan reach.Contact, len(probes))
	for i, p := range probes {
		go (&delayedProbe{probe: p, wanted: wanted, after: time.Duration(i) * checkStagger, result: results}).run(ctx)
	}
	highest := reach.None
	for range probes {
		if highest = max(highest, <-results); highest >= wanted {
			break
		}
	}
	return highest
}

// delayedProbe is one probe of a check.
type delayedProbe struct {
	probe  Probe
	wanted reach.Contact
	after  time.Duration
	result chan<- reach.Contact
}

// run probes after a delay.
func (p *delayedProbe) run(ctx context.Context) {
	if !lifecycle.Sleep(ctx, p.after) {
		p.result <- reach.None
		return
	}
	p.result <- p.probe(ctx, p.wanted)
}
