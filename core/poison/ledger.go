// Package poison identifies poison requests, which crash the upstreams that run them, so that
// they are rejected. A crash is any end of an upstream's process with requests in flight,
// whatever the cause.
//
// A crash implicates every request that was in flight at the upstream: one of them may have
// caused it, and the others have to be served. A single crash cannot tell them apart, and
// neither can a single VM: the request is sent again under a new ID, through any VM. So each VM
// records for each request the runs (attempts at one upstream) during which the upstream
// crashed, propagates them to the other VMs, and applies three rules:
//
//   - A response from an upstream that survives it clears the request of crashes from before
//     that run began, including those that are learned of later. It proves nothing if the
//     upstream crashes while it responds, nor about other upstreams that crash meanwhile.
//   - A suspected request is forwarded as a trial, to an upstream with no other suspect in
//     flight, and after two consecutive crashes as an exclusive trial: one run of it at a
//     time. An innocent request is answered in its first trial.
//   - A request is banned once three consecutive runs of it have crashed an upstream, the last
//     of them an exclusive trial, and no other request explains these crashes as well. Crashes
//     that are attributed to a banned request do not count against any other.
//
// Crashes at the same moment count once, since one cause may crash several upstreams, such as
// the loss of an availability zone.
//
// Bans are merged as a grow-only set: VMs exchange theirs and take the union, without an arbiter,
// and the platform stores a copy that outlives the VMs. In the terms of "Eventually Consistent
// Transactions" (Burckhardt et al.) a ban is an update that commutes: VMs that were partitioned
// agree as soon as messages pass in either direction.
//
// # Usage
//
//	l := poison.NewLedger()
//	trial, refused := l.Admit(now, print)   // Before each run; refused: not sent.
//	probe := l.ConnectionLost(now, run)     // Without a response; probe the upstream.
//	l.Crashed(now, target)                  // Or l.NotCrashed, if the probe did not show a crash.
//	probe = l.Served(now, run)              // It was answered; probe whether the upstream survives.
//	l.ServedUnsuspected(run, req)           // The same, where l.Knows(head) is false.
//	trial.Done()
//	l.Tick(now)                             // Decides on bans, and discards what has expired.
//	send(l.TakeNews())                      // To other VMs.
//	l.MergeNews(now, received)              // From other VMs.
package poison

import (
	"slices"
	"sync"
	"time"
)

// Bounds of what a Ledger remembers, besides those of runs.
const (
	// suspicionTTL is how long a crash counts against a request that is not seen to be
	// answered: longer than a caller's program usually waits before it restarts.
	suspicionTTL = time.Hour
	// maxSuspects bounds the suspected requests, some 400 bytes each: 1.6 MB. A region of
	// 800 upstreams has fewer requests in flight.
	maxSuspects = 4 << 10
	// maxAttributed bounds the crashes that are attributed to banned requests.
	maxAttributed = 4 << 10
	// maxBans bounds the banned requests; beyond it the oldest is dropped. At 100 bytes
	// each, all VMs exchange at most 100 KB after a partition.
	maxBans = 1000
	// maxUnconfirmed bounds the responses whose upstreams may still turn out to have
	// crashed.
	maxUnconfirmed = 4 << 10
	// maxNews bounds the news that is queued for other VMs.
	maxNews = 4 << 10
)

// Ledger is what one VM knows of requests that were in flight when upstreams crashed. It is
// safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamRuns // By incarnation.
	suspects  map[Print]*suspect
	trials    map[*Trial]bool // In flight.
	bans      map[Print]*banRecord
	heads     map[uint64]int // Number of suspects and bans by Print.Head.
	// attributed are the incarnations that a banned request crashed, and when this VM
	// learned of it.
	attributed map[string]time.Time
	// unconfirmed are answered runs of suspects whose upstreams are not yet known to have
	// survived the response.
	unconfirmed []Run
	// unsuspected are runs of other requests that were answered very recently, a ring
	// buffer once it is full.
	unsuspected       []unsuspectedRun
	oldestUnsuspected int
	// cleared are the latest responses to requests that were suspected.
	cleared     map[Print]Clearance
	news        News
	events      []Event
	dropped     Dropped
	notify      func()        // Called when there is news.
	trialOffset TrialOffset   // When this VM may start an exclusive trial.
	synced      bool          // The bans that the platform stores have been merged.
	syncDone    chan struct{} // Closed when synced.
}

// Dropped counts what a Ledger discarded for lack of room.
type Dropped struct {
	// Runs counts requests without a response, Answered responses that could have cleared a
	// request, Upstreams incarnations that may have crashed, Suspects suspected requests, Ends
	// crashes to be attributed to a ban, Bans bans, including expired ones, and News
	// additions to the news for other VMs.
	Runs, Answered, Upstreams, Suspects, Ends, Bans, News int
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithNews has f called, with the lock held, whenever TakeNews has something to return.
func WithNews(f func()) Option { return func(l *Ledger) { l.notify = f } }

// TrialOffset returns when a VM may start an exclusive trial of a request, as a fraction of the
// time over which the VMs stagger their trials. Each VM has a fraction of its own.
type TrialOffset func(now time.Time, p Print) float64

// WithTrialOffset has VMs that suspect a request try it one after the other.
func WithTrialOffset(f TrialOffset) Option { return func(l *Ledger) { l.trialOffset = f } }

// NewLedger returns an empty Ledger.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{
		upstreams: make(map[string]*upstreamRuns), suspects: make(map[Print]*suspect), trials: make(map[*Trial]bool),
		bans: make(map[Print]*banRecord), heads: make(map[uint64]int), attributed: make(map[string]time.Time), cleared: make(map[Print]Clearance), notify: func() {},
		trialOffset: func(time.Time, Print) float64 { return 0 },
		syncDone:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Knows reports whether a request with that head is suspected or has a ban. For nearly all
// requests this is the only check needed.
func (l *Ledger) Knows(head uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heads[head] > 0
}

// Tick bans the requests against which there is enough evidence, and discards what has
// expired.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evaluate(now)
	for p, s := range l.suspects {
		if now.Sub(s.learned) > suspicionTTL {
			l.clear(p)
		}
	}
	for target, at := range l.attributed {
		if now.Sub(at) > suspicionTTL {
			delete(l.attributed, target)
		}
	}
	for p, c := range l.cleared {
		if now.Sub(c.Answered) > suspicionTTL {
			delete(l.cleared, p)
		}
	}
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(r Run) bool { return now.Sub(r.Ended) > crashTTL })
	l.dropUnsuspected(now)
	for target, u := range l.upstreams {
		if now.Sub(u.lastUsed) > crashTTL && !u.probing {
			delete(l.upstreams, target)
		}
	}
	l.expireBans(now)
}

// Counts is the number of suspects and of bans in force, and what was discarded so far.
type Counts struct {
	Suspects, Bans int
	Dropped        Dropped
}

// Counts returns the present counts.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Suspects: len(l.suspects), Dropped: l.dropped}
	for _, b := range l.bans {
		if !b.Lifted {
			c.Bans++
		}
	}
	return c
}
