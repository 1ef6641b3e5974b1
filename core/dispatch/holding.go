package dispatch

import (
	"time"

	"auburnlatch/core/inventory"
)

// MateView is what a VM last heard from another VM of its zone.
type MateView struct {
	VM string
	// Held is how many slots of each target the mate holds or intends to.
	Held map[string]int
	// Acked is the newest own publication that the mate is known to have seen.
	Acked uint64
	// Gone says that the mate holds nothing any more: it has left with nothing
	// in flight, or the platform has taken it away since it was last heard.
	Gone bool
}

// View is what a Tick decides from.
type View struct {
	Targets []*inventory.Target
	// Services gives each service's rules.
	Services []*inventory.Service
	// Live are the names of the zone's VMs that may dispatch, self included
	// unless it is leaving.
	Live []string
	// Mates are all other VMs of the zone ever heard of, silent ones included.
	Mates []MateView
	// Seq numbers the publication in which this Tick's Held will stand.
	Seq uint64
	// Fresh says that the VM knows its zone: it has heard from its mates, or
	// knows that it has none. Until then it takes no slot.
	Fresh bool
	// Drained are the targets that get nothing new.
	Drained map[string]bool
}

// holding is one VM's part of one upstream's slots.
type holding struct {
	target    *inventory.Target
	inForce   int    // Slots that may be handed out.
	intent    int    // Slots published as held; never below inForce.
	intentSeq uint64 // The publication that first named intent.
	inUse     int

	state     Health
	stateAt   time.Time
	coldSince time.Time
	failures  int
	latency   time.Duration
	drained   bool
	// pausedUntil is until when the upstream wants nothing of this VM.
	pausedUntil time.Time
}

// resize moves the slots in force towards want.
//
// Shrinking is at once. Growing guards against two VMs handing out the same
// slot, which would show as an upstream running more requests than it has
// slots: the VM publishes its intent, and takes it into use only when every
// mate has acknowledged that publication while leaving room for it. A mate
// that acknowledged it counts it from then on in its own growth; a mate that
// grew before shows so in the very entry that carries its acknowledgement.
func (h *holding) resize(want int, mates []MateView, seq uint64) {
	if want <= h.inForce {
		h.inForce, h.intent = want, want
		return
	}
	room := h.target.Slots
	for _, m := range mates {
		if !m.Gone {
			room -= m.Held[h.target.Name]
		}
	}
	intent := max(h.inForce, min(want, room))
	if intent > h.intent {
		h.intentSeq = seq
	}
	h.intent = intent
	if h.intentSeq < seq && allAcked(mates, h.intentSeq) {
		h.inForce = intent
	}
}

// allAcked reports whether every mate that may hold slots has seen seq.
func allAcked(mates []MateView, seq uint64) bool {
	for _, m := range mates {
		if !m.Gone && m.Acked < seq {
			return false
		}
	}
	return true
}

// held is what is published for the upstream.
func (h *holding) held() int { return max(h.inForce, h.intent, h.inUse) }

// limit is how many slots may be in use now. An upstream that starts cold
// gets them little by little.
func (h *holding) limit(now time.Time) int {
	if h.coldSince.IsZero() {
		return h.inForce
	}
	warm := now.Sub(h.coldSince)
	if warm >= WarmUp {
		return h.inForce
	}
	part := int(float64(h.inForce) * float64(warm) / float64(WarmUp))
	return min(h.inForce, max(1, part))
}

// free is how many more requests the upstream may be sent now.
func (h *holding) free(now time.Time) int { return h.limit(now) - h.inUse }
