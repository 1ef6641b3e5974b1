// Package poison tells requests that end the upstreams which run them from those that
// were only under way there, and has the former refused.
//
// The end of an upstream implicates every request under way there: one may have caused
// it, the others have to be served. A single end cannot tell them apart, and neither can
// a single VM: the request comes again under a new ID, at any VM. So each VM notes for
// each request the runs that ended with their upstream, tells the others, and goes by
// three rules:
//
//   - An answer from an upstream that goes on to live clears the request of ends from before
//     that run began, those that are learned later included. Of an upstream that ends in
//     the moment of its answer, and of other upstreams that end meanwhile, it proves nothing.
//   - A request that is suspected is sent on as a trial, at an upstream where no other
//     suspect is, and after two ends in a row one run of it at a time. An innocent one is
//     answered by the first.
//   - A request is banned once three of its runs in a row have ended an upstream, the last
//     of them a trial by itself, and no other request explains these ends as well. What a
//     ban explains is held against nobody else.
//
// Ends at the same moment count once, since one cause may end several upstreams, such as
// the loss of an availability zone.
//
// A ban is a fact that only grows: VMs exchange their bans and take the union, with no
// word of an arbiter, and the platform keeps a copy that outlives them. It is what
// "Eventually Consistent Transactions" (Burckhardt et al.) calls an update that
// commutes: VMs that were cut off from each other agree as soon as either way is open.
//
// # Usage
//
//	l := poison.NewLedger()
//	trial, refused := l.Admit(now, print)       // Before each run; refused: not sent.
//	ask := l.Broke(now, run)                    // Its connection ended; ask whether the upstream did.
//	l.Ended(now, target)                        // It did; NotEnded: it may not have.
//	ask = l.Served(now, run)                    // It was answered; ask whether the upstream lives on.
//	l.ServedUnsuspected(run, req)               // The same, where l.Knows(head) is false.
//	trial.Done()
//	l.Tick(now)                                 // Judges, and forgets what is old.
//	send(l.TakeNews()); l.Told(now, received)   // Between VMs.
package poison

import (
	"slices"
	"sync"
	"time"
)

// Bounds of what is remembered, beside those of runs.
const (
	// suspicionFor is how long an end is held against a request that is not seen to be
	// answered: longer than a caller's program usually waits before it starts anew.
	suspicionFor = time.Hour
	// maxSuspects bounds the requests that are suspected, at some 400 bytes each, worked
	// out: 1.6 MB. All requests under way in a region of 800 upstreams are fewer.
	maxSuspects = 4 << 10
	// maxExplained bounds the ends that are held against nobody any more.
	maxExplained = 4 << 10
	// maxBans bounds the requests that are banned; beyond it the oldest goes. At 100
	// bytes each all VMs exchange 100 KB at the most, after a cut.
	maxBans = 1000
	// maxAnswered bounds the answers whose upstreams may still turn out to have ended.
	maxAnswered = 4 << 10
	// maxNews bounds what is kept to be told.
	maxNews = 4 << 10
)

// Ledger is what one VM knows of requests under which upstreams ended. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamRuns // By incarnation.
	suspects  map[Print]*suspect
	trials    map[*Trial]bool // Under way.
	bans      map[Print]*record
	heads     map[uint64]int // How many suspects and bans have a head.
	// explained are incarnations whose end a banned request caused, and when that was
	// learned.
	explained map[string]time.Time
	// answered are runs of suspects whose upstreams are not known yet to have outlived the
	// answer.
	answered []Run
	// unsuspected are runs that were answered in the last moments, of other requests: a
	// ring once it is full.
	unsuspected       []unsuspectedRun
	oldestUnsuspected int
	// cleared are the last answers of requests that were suspected.
	cleared map[Print]Clearance
	news    News
	events  []Event
	dropped Dropped
	tell    func()        // Called when there is news.
	turn    Turn          // When this VM may try a suspect by itself.
	known   bool          // The bans that the platform keeps are known.
	joined  chan struct{} // Closed when known.
}

// Dropped counts what a Ledger had to forget for want of room.
type Dropped struct {
	// Runs are requests without an answer, Answered those with one that was to clear them,
	// Upstreams incarnations that may have ended, Suspects requests that were suspected,
	// Ends those that a ban explains; Bans and News are what they say.
	Runs, Answered, Upstreams, Suspects, Ends, Bans, News int
}

// Option varies a Ledger.
type Option func(*Ledger)

// WithNews has f called, under a lock, whenever TakeNews has something to return.
func WithNews(f func()) Option { return func(l *Ledger) { l.tell = f } }

// Turn returns when a VM's turn is to try a request by itself, from 0 to 1, other than that
// of other VMs.
type Turn func(now time.Time, p Print) float64

// WithTurn has VMs that suspect a request try it one after the other.
func WithTurn(f Turn) Option { return func(l *Ledger) { l.turn = f } }

// NewLedger returns an empty Ledger.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{
		upstreams: make(map[string]*upstreamRuns), suspects: make(map[Print]*suspect), trials: make(map[*Trial]bool),
		bans: make(map[Print]*record), heads: make(map[uint64]int), explained: make(map[string]time.Time), cleared: make(map[Print]Clearance), tell: func() {},
		turn:   func(time.Time, Print) float64 { return 0 },
		joined: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Knows reports whether anything is remembered of a request with that head. Nearly all
// requests need no more than this.
func (l *Ledger) Knows(head uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heads[head] > 0
}

// Tick judges what can be judged, and forgets what is old.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judge(now)
	for p, s := range l.suspects {
		if now.Sub(s.last) > suspicionFor {
			l.clear(p)
		}
	}
	for target, at := range l.explained {
		if now.Sub(at) > suspicionFor {
			delete(l.explained, target)
		}
	}
	for p, c := range l.cleared {
		if now.Sub(c.Answered) > suspicionFor {
			delete(l.cleared, p)
		}
	}
	l.answered = slices.DeleteFunc(l.answered, func(r Run) bool { return now.Sub(r.Ended) > endMemory })
	l.dropUnsuspected(now)
	for target, u := range l.upstreams {
		if now.Sub(u.at) > endMemory && !u.asked {
			delete(l.upstreams, target)
		}
	}
	l.expire(now)
}

// Counts says how much a Ledger remembers, and what it had to forget so far.
type Counts struct {
	Suspects, Bans int
	Dropped        Dropped
}

// Counts returns how much is remembered.
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
