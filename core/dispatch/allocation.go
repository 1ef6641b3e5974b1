package dispatch

import (
	"time"

	"auburnlatch/core/inventory"
)

// PeerView is the last known state of another VM of the zone.
type PeerView struct {
	VM string
	// Held is the number of slots that the peer holds or intends to hold, by
	// target.
	Held map[string]int
	// Acked is the newest publication of this VM that the peer is known to
	// have received.
	Acked uint64
	// Gone reports that the peer holds no slots any more: it has left with no
	// requests in flight, or the platform has removed it since its last
	// heartbeat.
	Gone bool
}

// View is the input of Tick.
type View struct {
	Targets []*inventory.Target
	// Services are the rules of each service.
	Services []*inventory.Service
	// Live are the names of the zone's VMs that may dispatch, including this
	// one unless it is leaving.
	Live []string
	// Peers are all other VMs of the zone ever known, including those whose
	// heartbeats are missing.
	Peers []PeerView
	// Seq is the sequence number of the publication that will carry the slots
	// returned by this Tick.
	Seq uint64
	// Synced reports that the VM knows its zone: it has received the state of
	// its peers, or knows that it has none. Until then it takes no slots.
	Synced bool
	// Drained are the targets that get no new requests.
	Drained map[string]bool
}

// allocation is one VM's share of one upstream's slots.
type allocation struct {
	target    *inventory.Target
	inForce   int    // Slots that may be granted.
	intent    int    // Slots published as held; at least inForce.
	intentSeq uint64 // First publication that carried intent.
	inUse     int

	state     Health
	stateAt   time.Time
	coldSince time.Time
	failures  int // Failed requests in a row.
	latency   time.Duration
	drained   bool
	// pausedUntil is the end of the pause that the upstream has asked for.
	pausedUntil time.Time
}

// resize changes the slots in force to want, or towards it.
//
// The number shrinks at once. Growth must prevent two VMs from granting the
// same slot, which would make an upstream run more requests than it has slots:
// the VM publishes its intent, and starts to use it only when every peer has
// acknowledged that publication and their slots leave room for it. A peer that
// has acknowledged it takes it into account when it grows itself. A peer that
// grew before shows its new slots in the same entry that carries its
// acknowledgement.
func (a *allocation) resize(want int, peers []PeerView, seq uint64) {
	if want <= a.inForce {
		a.inForce, a.intent = want, want
		return
	}
	room := a.target.Slots
	for _, p := range peers {
		if !p.Gone {
			room -= p.Held[a.target.Name]
		}
	}
	intent := max(a.inForce, min(want, room))
	if intent > a.intent {
		a.intentSeq = seq
	}
	a.intent = intent
	if a.intentSeq < seq && allAcked(peers, a.intentSeq) {
		a.inForce = intent
	}
}

// allAcked reports whether every peer that may hold slots has acknowledged seq.
func allAcked(peers []PeerView, seq uint64) bool {
	for _, p := range peers {
		if !p.Gone && p.Acked < seq {
			return false
		}
	}
	return true
}

// held returns the number of slots to publish as held.
func (a *allocation) held() int { return max(a.inForce, a.intent, a.inUse) }

// limit returns how many slots may be in use now. It grows from 1 to all of
// inForce while a cold or unknown upstream warms up.
func (a *allocation) limit(now time.Time) int {
	n := a.warmedUp(now, a.coldSince)
	if a.state == Unknown {
		n = min(n, a.warmedUp(now, a.stateAt))
	}
	return n
}

// warmedUp returns how many slots may be in use now if the upstream warms up since a time; zero:
// it does not.
func (a *allocation) warmedUp(now, since time.Time) int {
	if since.IsZero() {
		return a.inForce
	}
	warm := now.Sub(since)
	if warm >= WarmUp {
		return a.inForce
	}
	part := int(float64(a.inForce) * float64(warm) / float64(WarmUp))
	return min(a.inForce, max(1, part))
}

// free returns how many more requests the upstream may be sent now.
func (a *allocation) free(now time.Time) int { return a.limit(now) - a.inUse }
