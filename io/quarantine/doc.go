// Package quarantine keeps requests that end the upstreams which run them from being sent
// on: it finds out which upstreams have ended, tells the other VMs and the platform, and
// carries out what core/poison decides.
//
// # Usage
//
//	g := quarantine.New(name, fleet, keeper, prober, log)
//	datagrams, err := peer.ListenDatagrams(addr, placements, g.Ledger())
//	g.Start(ctx, &group, datagrams)
//
// and for each request:
//
//	trial, refused := g.Admit(now, req)      // Before each run.
//	g.Unanswered(ctx, now, req, sent, err)   // An upstream brought no answer.
//	g.Served(ctx, now, req, sent)            // It brought one.
//	trial.Done()
package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
	"auburnlatch/io/upstream"
)

// Fleet is what is known of the other VMs.
type Fleet interface {
	// Mates returns the addresses at which all other VMs that may be running take
	// datagrams: one that is cut off may be reached again.
	Mates(now time.Time) []string
	// Live returns the names of the live VMs, this one's included, and ZoneLive those of
	// its availability zone.
	Live(now time.Time) []string
	ZoneLive(now time.Time) []string
	// HearsAllZones reports whether each availability zone that has VMs was heard of
	// within a time. A VM that hears no other does not.
	HearsAllZones(now time.Time, within time.Duration) bool
}

// Keeper keeps bans where they outlive the VMs.
type Keeper interface {
	// KeepBans keeps bans, each in place of an earlier one of its request.
	KeepBans(ctx context.Context, bans []poison.Ban) error
	// Bans returns all.
	Bans(ctx context.Context) ([]poison.Ban, error)
	// DropBans forgets those of some requests.
	DropBans(ctx context.Context, prints []poison.Print) error
}

// Prober finds out whether somebody takes connections at an address.
type Prober interface {
	Listens(ctx context.Context, addr string, within time.Duration) upstream.Listening
}

// Guard is one VM's quarantine. It is safe for concurrent use.
type Guard struct {
	self   string
	ledger *poison.Ledger
	fleet  Fleet
	keeper Keeper
	prober Prober
	log    *logrus.Entry
	news   chan struct{}
	probes lifecycle.Group
	// firstStart says that all VMs start for the first time: there are no bans yet.
	firstStart bool
	started    time.Time
	onEnd      func(Upstream)
}

// Option varies a Guard.
type Option func(*Guard)

// WithFirstStart tells that all VMs start for the first time.
func WithFirstStart() Option { return func(g *Guard) { g.firstStart = true } }

// WithEnds has f called with each upstream that has ended, which may be told more than
// once.
func WithEnds(f func(Upstream)) Option { return func(g *Guard) { g.onEnd = f } }

// New returns a Guard for the VM of a name. It knows of no bans.
func New(self string, f Fleet, k Keeper, p Prober, log *logrus.Entry, opts ...Option) *Guard {
	g := &Guard{self: self, fleet: f, keeper: k, prober: p, log: log, news: make(chan struct{}, 1), started: time.Now(), onEnd: func(Upstream) {}}
	g.ledger = poison.NewLedger(poison.WithNews(g.signal), poison.WithTrialOffset(g.turn))
	for _, opt := range opts {
		opt(g)
	}
	if g.firstStart {
		g.ledger.SetSynced()
	}
	return g
}

// Ledger returns what the Guard knows.
func (g *Guard) Ledger() *poison.Ledger { return g.ledger }

// Start starts everything that runs by itself, until ctx ends.
func (g *Guard) Start(ctx context.Context, group *lifecycle.Group, d *peer.Datagrams) {
	group.Start(ctx, (&teller{guard: g, peer: d}).loop)
	group.Start(ctx, (&banKeeper{guard: g}).loop)
}

// first reports whether this VM is the one of those named that calls the platform for
// them. One that knows nobody does.
func (g *Guard) first(names []string) bool {
	first := dispatch.First("bans", names, 1)
	return len(first) == 0 || first[0] == g.self
}

// turn returns when this VM's turn is among the live ones to try a request.
func (g *Guard) turn(now time.Time, p poison.Print) float64 {
	ranked := dispatch.Rank(p.String(), g.fleet.Live(now))
	return float64(max(0, slices.Index(ranked, g.self))) / float64(max(1, len(ranked)))
}

// signal has news of the ledger told.
func (g *Guard) signal() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// Admit decides whether a request may be sent to an upstream. The trial is nil for one
// that is not suspected.
func (g *Guard) Admit(now time.Time, req *poison.Request) (*poison.Trial, *verdict.Error) {
	req.Alone = false
	if !g.ledger.Knows(req.Head()) {
		return nil, nil
	}
	trial, refused := g.ledger.Admit(now, req.Print())
	req.Alone = trial != nil && trial.Alone
	return trial, refused
}

// Served takes in that an upstream has answered a request whole. Of a suspect it is asked
// whether the upstream outlives its answer; ctx ends the question.
func (g *Guard) Served(ctx context.Context, now time.Time, req *poison.Request, a Attempt) {
	run := poison.Run{Target: a.Upstream.ID, Began: a.Began, Ended: now, Alone: req.Alone}
	if !g.ledger.Knows(req.Head()) {
		g.ledger.ServedUnsuspected(run, req)
		return
	}
	run.Print = req.Print()
	if g.ledger.Served(now, run) {
		g.probes.Start(ctx, (&endProbe{guard: g, upstream: a.Upstream, after: poison.SurvivalTime}).run)
	}
}
