package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tuning of placements.
const (
	// placeAmong is how many targets, first in an object's order, are weighed for it.
	// By hashing alone the busiest of 12 targets with 72 objects had 1.5 and 1.9 times
	// the mean of two services' requests, by the emptiest of three 1.2 times. More than three gain
	// little, and VMs that do not hear each other disagree about more.
	placeAmong = 3
	// moveEvery is the least time between two objects of a route that a VM moves to
	// an emptier target. An object that moves is new once more, and a region's objects
	// must not change regions faster than operators allow.
	moveEvery = 2 * time.Second
	// lookEvery is the least time between two looks for such a target, and at least
	// lookPerTarget for each of a service: at 35 ns a target 0.23 us a request,
	// worked out, for a VM that has 1,000 requests a second and 1,400 targets.
	lookEvery     = 20 * time.Millisecond
	lookPerTarget = 150 * time.Microsecond
	// moveGain is by how many objects the emptier target must be better off before a
	// move, and moveRatio how many times fuller the other must be than it will be then.
	// VMs weigh regions a little differently; with the first alone, and four times as
	// often, objects went to and fro between them, and three deployments earned 0.001 to
	// 0.004 less, no more than the same code played again differs by.
	moveGain  = 2
	moveRatio = 1.5
	// forgetPlaced is how long an object keeps its place without a request.
	forgetPlaced = time.Minute
	// maxPlaced bounds the objects that have a place, at 120 bytes each, worked out: 8 MB, however
	// many keys callers make up. The others go by their order alone.
	maxPlaced = 64 << 10
	// maxNews bounds what is kept to be told.
	maxNews = 4 << 10
)

// Placement says which target an object belongs to, as one VM tells others. Of two
// for an object the one with the higher version holds.
type Placement struct {
	Service string
	// Route is what the object is asked for by.
	Route string
	// Object is the hash of the object's key.
	Object uint64
	// Target and Born name the incarnation.
	Target  string
	Born    int64
	Version uint32
	// Made is when it was placed, in Unix milliseconds by the clock of the VM that
	// did. It only orders equal versions.
	Made int64
}

// beats reports whether p holds against q. Two VMs that place an object, not having
// heard of each other, agree by it afterwards. Of equal versions the older holds:
// a VM that has just started must not move what the others know.
func (p Placement) beats(q Placement) bool {
	if p.Version != q.Version {
		return p.Version > q.Version
	}
	if p.Made != q.Made {
		return p.Made < q.Made
	}
	return xxhash.Sum64String(p.Target) > xxhash.Sum64String(q.Target)
}

// placement is an object's place, as this VM knows it.
type placement struct {
	Placement
	state *state // nil: the target is not known here.
	used  time.Time
}

// placements are the places of the objects that a route asks a service for.
//
// An upstream that handled an object lately needs a third of the work for the next
// request, so each object has one target. Which one is decided once, by the VM
// that first asks for it, and told to the others of the region: the emptiest of the
// first few in the object's order. That makes the targets' parts even, which a
// hash does not with some tens of objects for each, and leaves an object where it is
// when targets come and go. In the model with 72 objects and 12 targets at 65 % of
// their slots the share in time is 0.66 in the first four seconds against 0.49,
// and 0.94 against 0.79 after a sixth of the targets has left.
//
// A VM that hears nobody places by itself, and two VMs that differ cost an object one
// more first touch; no bound depends on their agreement.
//
// Targets' parts are counted by route. Counted over all routes, look-ups that
// operators move to a service whose near targets hold many uploads would change
// regions at once.
type placements struct {
	objects map[uint64]*placement
	// at is how many objects each target has.
	at            map[*state]int
	looked, moved time.Time
}

// placeKey names placements.
type placeKey struct{ service, route string }

func (b *Balancer) placements(service, route string) *placements {
	key := placeKey{service, route}
	pl := b.placed[key]
	if pl == nil {
		pl = &placements{objects: make(map[uint64]*placement), at: make(map[*state]int)}
		b.placed[key] = pl
	}
	return pl
}

// ownerOf returns the target that the request's object belongs to, placing it where
// it has none. nil: none can be had now.
func (b *Balancer) ownerOf(now time.Time, p *pool, req Request, factors []float64) *state {
	placed, hash := b.placements(req.Service, req.Route), xxhash.Sum64String(req.Key)
	pl := placed.objects[hash]
	if pl == nil {
		if b.objects >= maxPlaced {
			return nil
		}
		pl = &placement{Placement: Placement{Service: req.Service, Route: req.Route, Object: hash}}
	}
	pl.used = now
	if b.holds(placed, pl) {
		b.mayMove(now, p, placed, pl, req, factors)
		return pl.state
	}
	s := b.emptiest(now, p, placed, hash, req, factors)
	if s != nil {
		b.settle(now, placed, pl, s)
	}
	return s
}

// holds reports whether an object's target is there and takes requests.
func (b *Balancer) holds(placed *placements, pl *placement) bool {
	if pl.state == nil || pl.state.gone {
		if s := b.states[pl.Target]; s != nil && s.Born == pl.Born {
			placed.assign(pl, s)
		}
	}
	return pl.state != nil && !pl.state.gone && pl.state.usable()
}

// assign enters an object at a target.
func (p *placements) assign(pl *placement, s *state) {
	if pl.state != nil {
		if p.at[pl.state]--; p.at[pl.state] == 0 {
			delete(p.at, pl.state)
		}
	}
	if pl.state = s; s != nil {
		p.at[s]++
	}
}

// settle gives an object a place and has it told.
func (b *Balancer) settle(now time.Time, placed *placements, pl *placement, s *state) {
	placed.assign(pl, s)
	pl.Target, pl.Born, pl.Made = s.ID, s.Born, now.UnixMilli()
	pl.Version++
	b.placeChanges++
	if placed.objects[pl.Object] == nil {
		placed.objects[pl.Object] = pl
		b.objects++
	}
	if len(b.news) < maxNews {
		b.news = append(b.news, pl.Placement)
	}
	if b.tell != nil {
		b.tell()
	}
}

// emptiest returns the target with the fewest objects for its weight among the first
// few of an object's order that could take it.
func (b *Balancer) emptiest(now time.Time, p *pool, placed *placements, hash uint64, req Request, factors []float64) *state {
	var first [placeAmong]*state
	var costs [placeAmong]float64
	for _, s := range p.states {
		if !s.usable() || s.Cold(now) || s.limited() || s.signalled && !s.signals.ready(now) || req.Allowed != nil && !req.Allowed(s.Region) || slices.Contains(req.Tried, s.ID) ||
			!p.distrust && s.suspect(now, p.usual) {
			continue
		}
		cost := s.cost(hash, factors)
		for i := range first {
			if first[i] == nil || cost < costs[i] {
				copy(first[i+1:], first[i:])
				copy(costs[i+1:], costs[i:])
				first[i], costs[i] = s, cost
				break
			}
		}
	}
	var best *state
	for _, s := range first {
		if s != nil && (best == nil || placed.fill(s, 1, factors) < placed.fill(best, 1, factors)) {
			best = s
		}
	}
	return best
}

// fill is how many objects a target has for its weight, with some more.
func (p *placements) fill(s *state, more int, factors []float64) float64 {
	return float64(p.at[s]+more) / (float64(s.Slots) * factors[s.region])
}

// mayMove moves an object to an emptier target, seldom: so that targets which join,
// or come back, get their part.
func (b *Balancer) mayMove(now time.Time, p *pool, placed *placements, pl *placement, req Request, factors []float64) {
	if b.off[Moves] || now.Sub(placed.moved) < moveEvery || now.Sub(placed.looked) < max(lookEvery, time.Duration(len(p.states))*lookPerTarget) || len(req.Tried) > 0 {
		return
	}
	placed.looked = now
	s := b.emptiest(now, p, placed, pl.Object, req, factors)
	if s == nil || s == pl.state {
		return
	}
	here := placed.fill(pl.state, 0, factors)
	if placed.fill(s, moveGain, factors) > here || moveRatio*placed.fill(s, 1, factors) > here {
		return
	}
	placed.moved = now
	b.settle(now, placed, pl, s)
}

// Join tells that this VM has heard what others know of placements, or that there
// are none. Until then it goes by the objects' order alone, by which VMs that start
// together agree without a word.
func (b *Balancer) Join() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.joined = true
}

// News returns the placements that were made here since the last call.
func (b *Balancer) News() []Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := b.news
	b.news = nil
	return news
}

// Told takes in what another VM tells, and returns what it seems not to know: the
// placements that hold against its own.
func (b *Balancer) Told(now time.Time, list []Placement) (newer []Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, told := range list {
		placed := b.placements(told.Service, told.Route)
		pl := placed.objects[told.Object]
		if pl == nil {
			if b.objects >= maxPlaced {
				continue
			}
			pl = &placement{used: now}
			placed.objects[told.Object] = pl
			b.objects++
		}
		switch {
		case told.beats(pl.Placement):
			placed.assign(pl, nil)
			pl.Placement = told
			b.placeChanges++
			b.holds(placed, pl)
		case pl.beats(told):
			newer = append(newer, pl.Placement)
		}
	}
	return newer
}

// Placements returns all that are known, and a number that rises with each change.
func (b *Balancer) Placements() (list []Placement, changes uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, placed := range b.placed {
		for _, pl := range placed.objects {
			list = append(list, pl.Placement)
		}
	}
	return list, b.placeChanges
}

// Placed returns how many objects have a place.
func (b *Balancer) Placed() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.objects
}

// Forget drops the places of objects that nobody has asked for in a while, and what upstreams
// said that have been off the register for long.
func (b *Balancer) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetSignals(now)
	for _, placed := range b.placed {
		for hash, pl := range placed.objects {
			if now.Sub(pl.used) > forgetPlaced {
				placed.assign(pl, nil)
				delete(placed.objects, hash)
				b.objects--
			}
		}
	}
}
