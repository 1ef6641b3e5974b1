package quarantine

import (
	"context"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/upstream"
)

const (
	// probeTimeout bounds one probe: several round trips between regions, and less than
	// an upstream takes to restart.
	probeTimeout = 600 * time.Millisecond
	// maxProbes is the number of probes without a result after which it stays unknown
	// whether the upstream has crashed. They are probePause apart.
	maxProbes  = 3
	probePause = 200 * time.Millisecond
	// maxLinksWait bounds how long a probe waits for the VM's links.
	maxLinksWait = time.Minute
	// maxLogged bounds the requests listed in the log line of one crash, and the upstreams
	// listed in that of one ban.
	maxLogged = 8
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	// ID identifies the incarnation. Addr is IP:port.
	ID, Addr string
}

// Attempt is one run of a request at an upstream.
type Attempt struct {
	Upstream Upstream
	// Began is when the request was sent.
	Began time.Time
	// Lapsed says that the upstream is no longer registered.
	Lapsed bool
}

// Unanswered records that an upstream returned no response to a request that it may have
// started to run. If the connection was lost, it probes whether the upstream has crashed,
// until ctx ends.
func (g *Guard) Unanswered(ctx context.Context, now time.Time, req *poison.Request, a Attempt, e *verdict.Error) {
	run := poison.Run{Target: a.Upstream.ID, Began: a.Began, Ended: now, Alone: req.Alone}
	switch {
	case e.Reason == verdict.ReasonMisdirected:
		g.crashed(now, a.Upstream)
	case e.Reason == verdict.ReasonUnreachable && errors.Is(e.Err, syscall.ECONNREFUSED):
		if g.ledger.Refused(now, a.Upstream.ID) {
			g.probe(ctx, a.Upstream, false)
		}
	case e.Verdict == verdict.NotRun:
	case e.Reason == verdict.ReasonDeadline || e.Reason == verdict.ReasonCanceled || e.Reason == verdict.ReasonOverdue:
		run.Print = req.Print()
		g.ledger.Left(now, run)
		if a.Lapsed {
			g.probe(ctx, a.Upstream, true)
		}
	case connectionLost(e.Err):
		run.Print = req.Print()
		if g.ledger.ConnectionLost(now, run) {
			g.probe(ctx, a.Upstream, false)
		}
	}
}

// Answered records that an upstream responded to a request that was sent at began, so it
// was running then.
func (g *Guard) Answered(now, began time.Time, upstreamID string) {
	g.ledger.Answered(now, began, upstreamID)
}

// connectionLost reports whether an error says that the other side closed or reset the
// connection, as happens to all connections of a process that crashes. A host that loses
// power and a cut link cause no such error. A refused connection counts, as where the
// request may have run, the connection was opened to repeat it.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashed records that an upstream has crashed, and logs the requests in flight there.
func (g *Guard) crashed(now time.Time, u Upstream) {
	runs := g.ledger.Crashed(now, u.ID)
	g.onCrash(u)
	if len(runs) == 0 {
		return
	}
	var prints []string
	for _, r := range runs[:min(maxLogged, len(runs))] {
		prints = append(prints, r.Print.String())
	}
	g.log.WithFields(logrus.Fields{"Target": u.ID, "Addr": u.Addr, "UnderWay": len(runs), "Prints": strings.Join(prints, ",")}).Warn("UpstreamEnded")
}

// RegistrationsChanged records that registrations of upstreams have changed. previous are
// the upstreams that are no longer registered or whose address one in added has taken over.
// In the second case the upstream has crashed. In the first it may have crashed or may go on
// serving for a while; it is probed if requests were abandoned there. This detects the
// crashed upstreams of a host that lost power: such a host resets no connections, so nothing
// else reveals that they are gone.
func (g *Guard) RegistrationsChanged(ctx context.Context, now time.Time, previous, added []Upstream) {
	reused := make(map[string]bool, len(added))
	for _, u := range added {
		reused[u.Addr] = true
	}
	for _, u := range previous {
		switch {
		case reused[u.Addr]:
			g.crashed(now, u)
		case g.ledger.HasAbandoned(now, u.ID):
			g.probe(ctx, u, true)
		}
	}
}

// crashProbe finds out whether an upstream has crashed after a connection to it was lost:
// if so, its address refuses connections. It costs one connection for each moment at which
// connections to an upstream are lost.
type crashProbe struct {
	guard    *Guard
	upstream Upstream
	// lapsed says that the upstream is no longer registered: no reply then also counts as
	// a crash.
	lapsed bool
	// after is the wait before the first probe.
	after time.Duration
}

// probe starts a crashProbe at once.
func (g *Guard) probe(ctx context.Context, u Upstream, lapsed bool) {
	g.probes.Start(ctx, (&crashProbe{guard: g, upstream: u, lapsed: lapsed}).run)
}

// run probes until the result is known, maxProbes times at most. While the VM reaches no upstream
// at all, it waits: what crashed in that time still refuses connections afterwards.
func (p *crashProbe) run(ctx context.Context) {
	g := p.guard
	if !lifecycle.Sleep(ctx, p.after) {
		return
	}
	for probes := 0; probes < maxProbes; probes++ {
		began := time.Now()
		found := g.prober.Listens(ctx, p.upstream.Addr, probeTimeout)
		if found == upstream.Unknown && g.links.CutOff() || found == upstream.Refuses && !g.links.Confirm(ctx, began) {
			probes--
			if !p.awaitLinks(ctx) {
				return
			}
			continue
		}
		switch found {
		case upstream.Refuses:
			g.crashed(time.Now(), p.upstream)
			return
		case upstream.Listens:
			g.ledger.NotCrashed(time.Now(), p.upstream.ID, true)
			return
		case upstream.Unknown:
		}
		if !lifecycle.Sleep(ctx, probePause) {
			return
		}
	}
	if p.lapsed {
		g.crashed(time.Now(), p.upstream)
		return
	}
	g.ledger.NotCrashed(time.Now(), p.upstream.ID, false)
}

// awaitLinks waits until the VM reaches an upstream. It reports whether the probe is to go on.
func (p *crashProbe) awaitLinks(ctx context.Context) bool {
	waitCtx, cancel := context.WithTimeout(ctx, maxLinksWait)
	defer cancel()
	p.guard.links.Await(waitCtx)
	if waitCtx.Err() != nil {
		p.guard.ledger.NotCrashed(time.Now(), p.upstream.ID, false)
		return false
	}
	return true
}
