package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// banTTL is how long a request stays banned: enough time to fix an upstream that it
// crashes. After that it may crash three more.
const banTTL = 24 * time.Hour

const (
	// maxClockSkew is how far ahead the clock of the VM that decided a ban may be. Bans
	// from further in the future are ignored, as they would never expire.
	maxClockSkew = 10 * time.Minute
	// maxEvents bounds the events that have not been taken yet.
	maxEvents = 2 * maxBans
)

// Ban says that a request is no longer sent to upstreams, or that it is again.
type Ban struct {
	Print Print
	// At is when the ban was decided, in Unix milliseconds by the clock of the VM that
	// decided it. Of two bans of a request the later one wins.
	At int64
	// Lifted bans are not in force: the request was answered, or an operator lifted the
	// ban.
	Lifted bool
}

// supersedes reports whether b replaces other, a ban of the same request.
func (b Ban) supersedes(other Ban) bool {
	return b.At > other.At || b.At == other.At && b.Lifted && !other.Lifted
}

// banRecord is a ban as a VM stores it.
type banRecord struct {
	Ban
	persisted bool // The platform has stored it.
	// lastCrash is the time of the last of the crashes that the ban is based on, or the
	// latest time at which it may have been.
	lastCrash time.Time
}

// remaining returns how long the ban stays in force.
func (r *banRecord) remaining(now time.Time) time.Duration {
	return time.UnixMilli(r.At).Add(banTTL).Sub(now)
}

// activeBan returns the ban of a request that is in force, or nil.
func (l *Ledger) activeBan(now time.Time, p Print) *banRecord {
	b := l.bans[p]
	if b == nil || b.Lifted || b.remaining(now) <= 0 {
		return nil
	}
	return b
}

// Event is a ban that this VM has learned of or dropped, for its log and the platform.
type Event struct {
	Ban
	// Dropped says that the ban is forgotten: it has expired, or was the oldest of too
	// many.
	Dropped bool
	// Ends are the incarnations that crashed with the request in flight, as far as this VM
	// knows.
	Ends []string
}

// merge adds a ban unless it is already superseded, and reports whether it did.
func (l *Ledger) merge(now time.Time, b Ban) bool {
	old := l.bans[b.Print]
	age := now.Sub(time.UnixMilli(b.At))
	if old != nil && !b.supersedes(old.Ban) || age >= banTTL || age < -maxClockSkew {
		return false
	}
	if old == nil {
		l.heads[b.Print.Head]++
	}
	own := &banRecord{Ban: b, lastCrash: now.Add(-settleTime)}
	l.bans[b.Print] = own
	e := Event{Ban: b}
	if s := l.suspects[b.Print]; s != nil {
		if len(s.crashes) > 0 {
			own.lastCrash = s.lastCrash()
		}
		for _, r := range s.crashes {
			e.Ends = append(e.Ends, r.Target)
			if !b.Lifted {
				l.attribute(now, r.Target)
			}
		}
		l.clear(b.Print)
	}
	if old == nil || old.Lifted != b.Lifted {
		l.addEvent(e)
	}
	l.evictBans()
	return true
}

// addEvent queues an event for TakeEvents.
func (l *Ledger) addEvent(e Event) {
	if len(l.events) < maxEvents {
		l.events = append(l.events, e)
	}
}

// evictBans drops the oldest bans beyond maxBans. All VMs drop the same ones.
func (l *Ledger) evictBans() {
	for len(l.bans) > maxBans {
		var oldest *banRecord
		for _, b := range l.bans {
			if oldest == nil || cmp.Or(cmp.Compare(b.At, oldest.At), b.Print.compare(oldest.Print)) < 0 {
				oldest = b
			}
		}
		l.dropBan(oldest.Print)
	}
}

func (l *Ledger) expireBans(now time.Time) {
	for p, b := range l.bans {
		if b.remaining(now) <= 0 {
			l.dropBan(p)
		}
	}
}

func (l *Ledger) dropBan(p Print) {
	l.addEvent(Event{Ban: l.bans[p].Ban, Dropped: true})
	delete(l.bans, p)
	l.releaseHead(p)
	l.dropped.Bans++
}

// TakeEvents returns the events since the last call.
func (l *Ledger) TakeEvents() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.events
	l.events = nil
	return list
}

// Bans returns all bans, including lifted ones, ordered by time.
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

// Unpersisted returns the bans older than olderThan that the platform is not known to have
// stored.
func (l *Ledger) Unpersisted(now time.Time, olderThan time.Duration) []Ban {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Ban
	for _, b := range l.bans {
		if !b.persisted && now.Sub(time.UnixMilli(b.At)) >= olderThan {
			list = append(list, b.Ban)
		}
	}
	return list
}

// MarkLost records that the platform may have lost the bans that it has stored, and reports
// whether there are any.
func (l *Ledger) MarkLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.bans {
		b.persisted = false
	}
	return len(l.bans) > 0
}

// Restore merges bans read from the platform.
func (l *Ledger) Restore(now time.Time, list []Ban) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergePersisted(now, list)
}

// Kept records that the platform has stored bans, and queues that as news for the other VMs.
func (l *Ledger) Kept(now time.Time, list []Ban) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergePersisted(now, list)
	l.queueNews(func(n *News) { n.Kept = append(n.Kept, list...) })
}

// mergePersisted merges bans that the platform has stored.
func (l *Ledger) mergePersisted(now time.Time, list []Ban) {
	for _, b := range list {
		l.merge(now, b)
		if own := l.bans[b.Print]; own != nil && own.Ban == b {
			own.persisted = true
		}
	}
}

// Digest returns a hash of all bans and of the requests that need exclusive trials, by which
// two VMs compare what they know. It is 0 if there are none.
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
		if l.tally(s.crashes).needsExclusive() {
			sum ^= xxhash.Sum64(p.Bytes())
		}
	}
	return sum
}
