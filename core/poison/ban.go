package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// banFor is how long a request stays banned: time for an upstream that it ends to be
// mended. Then it may end three more.
const banFor = 24 * time.Hour

const (
	// maxAhead is how far ahead the clock of the VM that decided may be, or what it
	// says is not taken in: it would hold for ever.
	maxAhead = 10 * time.Minute
	// maxEvents bounds the events that nobody has taken yet.
	maxEvents = 2 * maxBans
)

// Ban says that a request is not sent to upstreams any more, or is again.
type Ban struct {
	Print Print
	// At is when it was decided, in Unix milliseconds by the clock of the VM that did.
	// Of two for a request the later holds.
	At int64
	// Lifted bans hold no more: the request was answered, or an operator says so.
	Lifted bool
}

// beats reports whether b holds against other, of the same request.
func (b Ban) beats(other Ban) bool {
	return b.At > other.At || b.At == other.At && b.Lifted && !other.Lifted
}

// record is a ban as a VM keeps it.
type record struct {
	Ban
	kept bool // The platform has it.
	// lastEnd is when the last of the ends came on which the ban rests, or the latest
	// moment at which it may have.
	lastEnd time.Time
}

// until returns how long it will hold from now on.
func (r *record) until(now time.Time) time.Duration {
	return time.UnixMilli(r.At).Add(banFor).Sub(now)
}

// active returns the ban of a request that holds, or nil.
func (l *Ledger) active(now time.Time, p Print) *record {
	b := l.bans[p]
	if b == nil || b.Lifted || b.until(now) <= 0 {
		return nil
	}
	return b
}

// Event is a ban that this VM has learned of or dropped, for its log and the platform.
type Event struct {
	Ban
	// Dropped says that it is not remembered any more: it is over, or the oldest of too
	// many.
	Dropped bool
	// Ends are the upstreams that ended under the request, as far as this VM knows.
	Ends []string
}

// merge takes in a ban unless a later one is known, and reports whether it did.
func (l *Ledger) merge(now time.Time, b Ban) bool {
	old := l.bans[b.Print]
	age := now.Sub(time.UnixMilli(b.At))
	if old != nil && !b.beats(old.Ban) || age >= banFor || age < -maxAhead {
		return false
	}
	if old == nil {
		l.heads[b.Print.Head]++
	}
	own := &record{Ban: b, lastEnd: now.Add(-settleFor)}
	l.bans[b.Print] = own
	e := Event{Ban: b}
	if s := l.suspects[b.Print]; s != nil {
		if len(s.ends) > 0 {
			own.lastEnd = s.lastEnd()
		}
		for _, r := range s.ends {
			e.Ends = append(e.Ends, r.Target)
			if !b.Lifted {
				l.explain(now, r.Target)
			}
		}
		l.clear(b.Print)
	}
	if old == nil || old.Lifted != b.Lifted {
		l.note(e)
	}
	l.bound()
	return true
}

// note keeps an event until it is taken.
func (l *Ledger) note(e Event) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, e)
	}
}

// bound drops the oldest bans beyond what is kept. All VMs drop the same.
func (l *Ledger) bound() {
	for len(l.bans) > maxBans {
		var oldest *record
		for _, b := range l.bans {
			if oldest == nil || cmp.Or(cmp.Compare(b.At, oldest.At), b.Print.compare(oldest.Print)) < 0 {
				oldest = b
			}
		}
		l.dropBan(oldest.Print)
	}
}

// expire drops bans that hold no more.
func (l *Ledger) expire(now time.Time) {
	for p, b := range l.bans {
		if b.until(now) <= 0 {
			l.dropBan(p)
		}
	}
}

func (l *Ledger) dropBan(p Print) {
	l.note(Event{Ban: l.bans[p].Ban, Dropped: true})
	delete(l.bans, p)
	l.forgetHead(p)
	l.dropped.Bans++
}

// TakeEvents returns what was learned of bans since the last call.
func (l *Ledger) TakeEvents() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.events
	l.events = nil
	return list
}

// Bans returns all bans, those that were lifted included, in order of time.
func (l *Ledger) Bans() []Ban {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allBans()
}

func (l *Ledger) allBans() []Ban {
	list := make([]Ban, 0, len(l.bans))
	for _, b := range l.bans {
		list = append(list, b.Ban)
	}
	slices.SortFunc(list, func(a, b Ban) int { return cmp.Or(cmp.Compare(a.At, b.At), a.Print.compare(b.Print)) })
	return list
}

// Unkept returns the bans that the platform is not known to have and that are older
// than a given time.
func (l *Ledger) Unkept(now time.Time, olderThan time.Duration) []Ban {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Ban
	for _, b := range l.bans {
		if !b.kept && now.Sub(time.UnixMilli(b.At)) >= olderThan {
			list = append(list, b.Ban)
		}
	}
	return list
}

// Recalled takes in the bans that the platform has.
func (l *Ledger) Recalled(now time.Time, list []Ban) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep(now, list)
}

// Kept takes in that the platform has been given bans, of which the others are told.
func (l *Ledger) Kept(now time.Time, list []Ban) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep(now, list)
	l.addNews(func(n *News) { n.Kept = append(n.Kept, list...) })
}

// keep takes in bans that the platform has.
func (l *Ledger) keep(now time.Time, list []Ban) {
	for _, b := range list {
		l.merge(now, b)
		if own := l.bans[b.Print]; own != nil && own.Ban == b {
			own.kept = true
		}
	}
}

// Digest stands for all bans and for the requests that are tried by themselves: two VMs
// with the same know the same. 0: there are none.
func (l *Ledger) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for _, b := range l.bans {
		data := binary.BigEndian.AppendUint64(b.Print.Bytes(), uint64(b.At)<<1)
		if b.Lifted {
			data[len(data)-1] |= 1
		}
		sum ^= xxhash.Sum64(data)
	}
	for p, s := range l.suspects {
		if l.tally(s.ends).alone() {
			sum ^= xxhash.Sum64(p.Bytes())
		}
	}
	return sum
}
