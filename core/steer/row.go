package steer

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Window is the period within which a row moves by at most its cap.
const Window = time.Minute

// minMove is the smallest distance that a row moves by. Smaller distances are
// rounding errors.
const minMove = 1e-9

// Weights is a distribution over availability zones: shares from 0 to 1 that
// add up to 1. A zone that is absent has a share of 0.
type Weights map[string]float64

// Distance returns the share of the traffic that goes to a different zone under
// b than under a: half the sum of the absolute differences.
func Distance(a, b Weights) float64 {
	var sum float64
	for zone, w := range a {
		sum += math.Abs(w - b[zone])
	}
	for zone, w := range b {
		if _, ok := a[zone]; !ok {
			sum += w
		}
	}
	return sum / 2
}

// Move is a past move of a row.
type Move struct {
	At time.Time
	// Share is the share of the traffic that moved.
	Share float64
}

// Limit limits the moves of a row.
type Limit struct {
	// Cap is the share of the traffic that may move within any Window.
	Cap float64
	// FailoverCap replaces Cap for moves that take traffic away from a zone in
	// Lost, if it is larger than Cap.
	FailoverCap float64
	// Lost are the zones that cannot serve any requests.
	Lost map[string]bool
}

// Row is the distribution in use for one (service, origin). It is safe for
// concurrent use. The zero value is empty; its first move goes to the wanted
// weights at once, since there is no traffic yet that could shift.
type Row struct {
	mu      sync.Mutex
	zones   []string  // Sorted.
	weights []float64 // By zone.
	credit  []float64 // By zone; see Pick.
	moves   []Move    // Within the last Window, oldest first.
	skip    int       // How many picks are skipped before the first one.
}

// Restore initializes the row with a peer's weights and past moves.
func (r *Row) Restore(w Weights, moves []Move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(w)
	r.moves = slices.Clone(moves)
}

// Weights returns the distribution in use.
func (r *Row) Weights() Weights {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current()
}

// Moves returns the moves within the last Window.
func (r *Row) Moves(now time.Time) []Move {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return slices.Clone(r.moves)
}

// Move moves the row towards the wanted distribution as far as the limit
// allows, and returns the remaining distance.
//
// The cap holds in every window, not only in those that begin at a full
// minute: each move counts until it is older than Window. However long a VM was
// paused, it may afterwards move by no more than one cap.
func (r *Row) Move(now time.Time, wanted Weights, limit Limit) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(wanted) == 0 {
		return 0
	}
	if len(r.zones) == 0 {
		r.set(wanted)
		return 0
	}
	current := r.current()
	distance := Distance(current, wanted)
	if distance < minMove {
		return 0
	}
	r.expire(now)
	allowed := min(distance, limit.cap(current, wanted)-r.moved())
	if allowed < minMove {
		return distance
	}
	part := allowed / distance
	next := make(Weights, len(current)+len(wanted))
	for zone := range current {
		next[zone] = current[zone] + part*(wanted[zone]-current[zone])
	}
	for zone, w := range wanted {
		if _, ok := current[zone]; !ok {
			next[zone] = part * w
		}
	}
	r.set(next)
	r.moves = append(r.moves, Move{At: now, Share: allowed})
	return distance - allowed
}

// Estimate returns how long the row will take to reach the wanted distribution
// if it is moved once every step and neither wanted nor limit changes. It
// reports false if that takes longer than horizon.
func (r *Row) Estimate(now time.Time, wanted Weights, limit Limit, step, horizon time.Duration) (time.Duration, bool) {
	var forecast Row
	r.mu.Lock()
	forecast.set(r.current())
	forecast.moves = slices.Clone(r.moves)
	r.mu.Unlock()
	for passed := time.Duration(0); passed <= horizon; passed += step {
		if forecast.Move(now.Add(passed), wanted, limit) < minMove {
			return passed, true
		}
	}
	return 0, false
}

// cap returns the cap for a move from current towards wanted. It is the
// failover cap if the move takes traffic away from a lost zone.
func (l Limit) cap(current, wanted Weights) float64 {
	if l.FailoverCap <= l.Cap {
		return l.Cap
	}
	for zone := range l.Lost {
		if current[zone] > wanted[zone] {
			return l.FailoverCap
		}
	}
	return l.Cap
}

// expire drops moves older than Window.
func (r *Row) expire(now time.Time) {
	i := 0
	for i < len(r.moves) && now.Sub(r.moves[i].At) > Window {
		i++
	}
	r.moves = r.moves[i:]
}

// moved returns the share of the traffic that has moved within the last Window.
func (r *Row) moved() float64 {
	var sum float64
	for _, m := range r.moves {
		sum += m.Share
	}
	return sum
}

func (r *Row) current() Weights {
	w := make(Weights, len(r.zones))
	for i, zone := range r.zones {
		w[zone] = r.weights[i]
	}
	return w
}

// set replaces the weights. It keeps the credit of zones that remain, so that
// frequent small moves do not restart the sequence of picks.
func (r *Row) set(w Weights) {
	credit := make(map[string]float64, len(r.zones))
	for i, zone := range r.zones {
		credit[zone] = r.credit[i]
	}
	r.zones = slices.Sorted(maps.Keys(w))
	r.weights = make([]float64, len(r.zones))
	r.credit = make([]float64, len(r.zones))
	var total float64
	for _, v := range w {
		total += v
	}
	for i, zone := range r.zones {
		r.weights[i] = w[zone] / total
		r.credit[i] = credit[zone]
	}
}

// Pick returns the zone for the next request, or "" if the row is empty. It
// uses smooth weighted round robin: on each request every zone's credit grows
// by its weight, and the zone with the most credit is picked and loses 1. The
// number of requests to a zone therefore stays close to its share in any
// sequence of requests, and the counted traffic stays within the cap as the
// weights do. With a random choice it would deviate by the square root of the
// count.
func (r *Row) Pick() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.zones) == 0 {
		return ""
	}
	for ; r.skip > 0; r.skip-- {
		r.next()
	}
	return r.zones[r.next()]
}

// next returns the index of the next zone in the sequence of picks.
func (r *Row) next() int {
	best := 0
	for i := range r.zones {
		r.credit[i] += r.weights[i]
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best]--
	return best
}
