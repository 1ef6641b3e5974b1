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
	// probeWithin bounds one question whether an upstream still listens: several round
	// trips between regions, and less than what an upstream takes to start again.
	probeWithin = 600 * time.Millisecond
	// probeTries is how often it is asked before it stays unknown, probePause apart.
	probeTries = 3
	probePause = 200 * time.Millisecond
	// loggedPrints bounds the requests that are named in the line on one end, and the
	// upstreams in that on one ban.
	loggedPrints = 8
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	// ID names the incarnation; Addr is IP:port.
	ID, Addr string
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Upstream Upstream
	Began    time.Time
	// Lapsed says that the upstream is off the register.
	Lapsed bool
}

// Unanswered notes that an upstream brought no answer to a request that it may have
// begun. Whether the upstream has ended is asked where its connection did. ctx ends the
// question.
func (g *Guard) Unanswered(ctx context.Context, now time.Time, req *poison.Request, a Attempt, e *verdict.Error) {
	run := poison.Run{Target: a.Upstream.ID, Began: a.Began, Ended: now, Alone: req.Alone}
	switch {
	case e.Reason == verdict.ReasonMisdirected, e.Reason == verdict.ReasonUnreachable && errors.Is(e.Err, syscall.ECONNREFUSED):
		g.ended(now, a.Upstream)
	case e.Verdict == verdict.NotRun:
	case e.Reason == verdict.ReasonDeadline || e.Reason == verdict.ReasonCanceled:
		run.Print = req.Print()
		g.ledger.Left(now, run)
		if a.Lapsed {
			g.probe(ctx, a.Upstream, true)
		}
	case connectionEnded(e.Err):
		run.Print = req.Print()
		if g.ledger.ConnectionLost(now, run) {
			g.probe(ctx, a.Upstream, false)
		}
	}
}

// Answered takes in that an upstream answered a request that began at a time, so that it
// lived then.
func (g *Guard) Answered(now, began time.Time, upstreamID string) {
	g.ledger.Answered(now, began, upstreamID)
}

// connectionEnded reports whether an error says that the other side ended the
// connection, as all of a process's do when it ends. A host without power and a link
// that is cut say nothing. A connection that is refused where the request may have run
// was opened to repeat it.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// ended takes in that an upstream has ended, and logs what was under way there.
func (g *Guard) ended(now time.Time, u Upstream) {
	runs := g.ledger.Crashed(now, u.ID)
	g.onEnd(u)
	if len(runs) == 0 {
		return
	}
	var prints []string
	for _, r := range runs[:min(loggedPrints, len(runs))] {
		prints = append(prints, r.Print.String())
	}
	g.log.WithFields(logrus.Fields{"Target": u.ID, "Addr": u.Addr, "UnderWay": len(runs), "Prints": strings.Join(prints, ",")}).Warn("UpstreamEnded")
}

// Replaced takes in that upstreams are registered that were not before. Of ended, one
// whose address another has now ended without a word; one that is off the register may have,
// or goes on serving for a while, and is asked where requests there had no answer. A host
// without power resets no connection, so nothing else would tell of its upstreams' ends.
func (g *Guard) Replaced(ctx context.Context, now time.Time, ended, added []Upstream) {
	taken := make(map[string]bool, len(added))
	for _, u := range added {
		taken[u.Addr] = true
	}
	for _, u := range ended {
		switch {
		case taken[u.Addr]:
			g.ended(now, u)
		case g.ledger.HasAbandoned(now, u.ID):
			g.probe(ctx, u, true)
		}
	}
}

// endProbe finds out whether an upstream whose connection ended has ended itself: its
// address then refuses connections. It costs one connection for each moment at which
// connections to an upstream break off.
type endProbe struct {
	guard    *Guard
	upstream Upstream
	// lapsed says that the upstream is off the register: silence is its end too.
	lapsed bool
	// after is the wait before the first question.
	after time.Duration
}

func (g *Guard) probe(ctx context.Context, u Upstream, lapsed bool) {
	g.probes.Start(ctx, (&endProbe{guard: g, upstream: u, lapsed: lapsed}).run)
}

// run asks until it is known.
func (p *endProbe) run(ctx context.Context) {
	g := p.guard
	if !lifecycle.Sleep(ctx, p.after) {
		return
	}
	for range probeTries {
		switch g.prober.Listens(ctx, p.upstream.Addr, probeWithin) {
		case upstream.Refuses:
			g.ended(time.Now(), p.upstream)
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
		g.ended(time.Now(), p.upstream)
		return
	}
	g.ledger.NotCrashed(time.Now(), p.upstream.ID, false)
}
