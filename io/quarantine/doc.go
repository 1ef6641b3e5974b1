// Package quarantine stops requests that crash upstreams from being forwarded further. It
// detects crashed upstreams, publishes them to the other VMs and the platform, and carries
// out what core/poison decides.
//
// # Usage
//
//	g := quarantine.New(name, fleet, bans, prober, log)
//	datagrams, err := peer.ListenDatagrams(addr, placements, g.Ledger())
//	g.Start(ctx, &group, datagrams)
//
// and for each request:
//
//	trial, refused := g.Admit(now, req)      // Before each run.
//	g.Unanswered(ctx, now, req, sent, err)   // An upstream returned no response.
//	g.Served(ctx, now, req, sent)            // It returned one.
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

// Fleet is this VM's view of the other VMs.
type Fleet interface {
	// Peers returns the addresses at which all peers that may be running receive
	// datagrams. It includes unreachable ones, as they may become reachable again.
	Peers(now time.Time) []string
	// Departed returns the addresses of VMs that ended lately. They may have started again
	// there, unknown to the others.
	Departed(now time.Time) []string
	// Live returns the names of the live VMs, including this one, and ZoneLive those of
	// its availability zone.
	Live(now time.Time) []string
	ZoneLive(now time.Time) []string
	// SeesAllZones reports whether, for each availability zone that has VMs, a VM was
	// seen within the given time. It is false if this VM knows no peer.
	SeesAllZones(now time.Time, within time.Duration) bool
}

// BanStore stores bans where they outlive the VMs.
type BanStore interface {
	// SaveBans stores bans, each in place of an earlier one of its request.
	SaveBans(ctx context.Context, bans []poison.Ban) error
	// Bans returns all bans.
	Bans(ctx context.Context) ([]poison.Ban, error)
	// DeleteBans deletes the bans of some requests.
	DeleteBans(ctx context.Context, prints []poison.Print) error
	// Era counts how often the store is known to have been restored from an older copy. Bans
	// stored in an earlier era may be lost.
	Era() uint64
}

// Prober finds out whether a process accepts connections at an address.
type Prober interface {
	Listens(ctx context.Context, addr string, within time.Duration) upstream.Listening
}

// Links knows of the VM's own connections to upstreams.
type Links interface {
	// CutOff reports whether the VM is known to reach no upstream.
	CutOff() bool
	// Confirm reports whether other upstreams accept connections, by one that the VM began to
	// open after since. If there is none, it tries.
	Confirm(ctx context.Context, since time.Time) bool
	// Await waits until the VM reaches an upstream, or ctx ends.
	Await(ctx context.Context)
}

// Guard is one VM's quarantine. It is safe for concurrent use.
type Guard struct {
	self      string
	ledger    *poison.Ledger
	fleet     Fleet
	store     BanStore
	prober    Prober
	links     Links
	log       *logrus.Entry
	newsReady chan struct{}
	probes    lifecycle.Group
	// firstStart says that all VMs start for the first time: there are no bans yet.
	firstStart bool
	started    time.Time
	onCrash    func(Upstream)
}

// Option configures a Guard.
type Option func(*Guard)

// WithFirstStart says that all VMs start for the first time, so that there are no bans to
// load.
func WithFirstStart() Option { return func(g *Guard) { g.firstStart = true } }

// WithLinks has refused connections count only while the VM reaches other upstreams: otherwise its
// own links may be at fault.
func WithLinks(l Links) Option { return func(g *Guard) { g.links = l } }

// anyLinks is used without WithLinks.
type anyLinks struct{}

// CutOff implements Links.
func (anyLinks) CutOff() bool { return false }

// Confirm implements Links.
func (anyLinks) Confirm(context.Context, time.Time) bool { return true }

// Await implements Links.
func (anyLinks) Await(context.Context) {}

// WithCrashHandler has f called with each upstream that has crashed, possibly more than once.
func WithCrashHandler(f func(Upstream)) Option { return func(g *Guard) { g.onCrash = f } }

// New returns a Guard without bans for the VM named self.
func New(self string, f Fleet, b BanStore, p Prober, log *logrus.Entry, opts ...Option) *Guard {
	g := &Guard{self: self, fleet: f, store: b, prober: p, links: anyLinks{}, log: log, newsReady: make(chan struct{}, 1), started: time.Now(), onCrash: func(Upstream) {}}
	g.ledger = poison.NewLedger(poison.WithNews(g.notify), poison.WithTrialOffset(g.trialOffset))
	for _, opt := range opts {
		opt(g)
	}
	if g.firstStart {
		g.ledger.SetSynced()
	}
	return g
}

// Ledger returns the Guard's record of crashes, suspects and bans.
func (g *Guard) Ledger() *poison.Ledger { return g.ledger }

// Start starts the background loops, which run until ctx ends.
func (g *Guard) Start(ctx context.Context, group *lifecycle.Group, d *peer.Datagrams) {
	group.Start(ctx, (&publisher{guard: g, peer: d}).loop)
	group.Start(ctx, (&banSyncer{guard: g}).loop)
}

// designated reports whether this VM is the one among the named VMs that calls the platform
// for all of them, chosen by rendezvous hashing. It is true if names is empty.
func (g *Guard) designated(names []string) bool {
	first := dispatch.First("bans", names, 1)
	return len(first) == 0 || first[0] == g.self
}

// trialOffset implements poison.TrialOffset by this VM's rank among the live ones.
func (g *Guard) trialOffset(now time.Time, p poison.Print) float64 {
	ranked := dispatch.Rank(p.String(), g.fleet.Live(now))
	return float64(max(0, slices.Index(ranked, g.self))) / float64(max(1, len(ranked)))
}

// notify wakes the publisher, as the Ledger has news.
func (g *Guard) notify() {
	select {
	case g.newsReady <- struct{}{}:
	default:
	}
}

// Admit decides whether a request may be sent to an upstream. The trial is nil if the
// request is not suspected.
func (g *Guard) Admit(now time.Time, req *poison.Request) (*poison.Trial, *verdict.Error) {
	req.Alone = false
	if !g.ledger.Knows(req.Head()) {
		return nil, nil
	}
	trial, refused := g.ledger.Admit(now, req.Print())
	req.Alone = trial != nil && trial.Alone
	return trial, refused
}

// Served records that an upstream returned a complete response to a request. If the request
// is suspected, it probes whether the upstream survives its response, until ctx ends.
func (g *Guard) Served(ctx context.Context, now time.Time, req *poison.Request, a Attempt) {
	run := poison.Run{Target: a.Upstream.ID, Began: a.Began, Ended: now, Alone: req.Alone}
	if !g.ledger.Knows(req.Head()) {
		g.ledger.ServedUnsuspected(run, req)
		return
	}
	run.Print = req.Print()
	if g.ledger.Served(now, run) {
		g.probes.Start(ctx, (&crashProbe{guard: g, upstream: a.Upstream, after: poison.SurvivalTime}).run)
	}
}
