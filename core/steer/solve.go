package steer

import (
	"cmp"
	"slices"
	"time"
)

// StaleAfter is the age at which none of the spare slots in a zone's summary
// count any more: the zone may keep the load it reported, but gets no more.
const StaleAfter = 30 * time.Second

// nearRTT is the round trip below which a zone is near. An origin's demand
// goes to near zones before it uses the headroom of its own zone, and uses that
// headroom before it goes to zones farther away.
const nearRTT = 20 * time.Millisecond

// ZoneSupply is the capacity of one availability zone for a service.
type ZoneSupply struct {
	Zone string
	// Slots is the number of slots of usable upstreams.
	Slots float64
	// InUse is the number of slots in use as last reported.
	InUse float64
	// Age is the age of the report.
	Age time.Duration
	// Drained reports that the zone must get no traffic.
	Drained bool
}

// Demand is the number of slots that the requests from one origin need.
type Demand struct {
	Origin string
	Slots  float64
}

// Path is the connection from an origin zone to a serving zone.
type Path struct {
	Origin, Zone string
	RoundTrip    time.Duration
	// MaxConcurrent is the largest number of concurrent requests; 0: no limit.
	MaxConcurrent float64
}

// Problem is the traffic of one service that is to be distributed over the
// zones.
type Problem struct {
	Supplies []ZoneSupply
	Demands  []Demand
	// Paths must be sorted by SortPaths. They change only with the inventory,
	// and sorting them in Solve was most of its cost.
	Paths []Path
	// HeadroomFloor is the share of a zone's slots that other origins must leave
	// free, and that the zone's own requests use only after near zones.
	HeadroomFloor float64
}

// Assignment is a distribution for each origin.
type Assignment map[string]Weights

// Solve distributes the demand over the zones. Each origin's demand fills the
// nearest zone up to its headroom floor, then the next nearest. Closer pairs of
// origin and zone go before farther ones, so that a zone's own callers are not
// displaced by those of another. Demand that is left after the near zones fills
// the headroom of its own zone before it goes to zones farther away. Demand that
// fits nowhere is distributed like the rest of its origin's demand and refused
// there; it is never moved to another zone that is full.
//
// The result depends on the problem only, so all VMs that have the same
// summaries compute the same weights without coordination.
func Solve(p Problem) Assignment {
	s := newSolver(p)
	s.fillAll()
	assignment := make(Assignment, len(p.Demands))
	for _, d := range p.Demands {
		assignment[d.Origin] = s.weights(d)
	}
	return assignment
}

type solver struct {
	problem Problem
	supply  map[string]ZoneSupply // By zone.
	// The amounts are in slots.
	filled   map[string]float64 // By zone.
	unplaced map[string]float64 // Demand not yet placed, by origin.
	placed   map[string]Weights // By origin and zone.
}

func newSolver(p Problem) *solver {
	s := &solver{
		problem: p,
		supply:  map[string]ZoneSupply{}, filled: map[string]float64{},
		unplaced: map[string]float64{}, placed: map[string]Weights{},
	}
	for _, z := range p.Supplies {
		s.supply[z.Zone] = z
	}
	for _, d := range p.Demands {
		s.unplaced[d.Origin] = d.Slots
		s.placed[d.Origin] = Weights{}
	}
	return s
}

// SortPaths sorts paths by round trip, shortest first, then by origin and zone.
func SortPaths(paths []Path) {
	slices.SortFunc(paths, func(a, b Path) int {
		return cmp.Or(
			cmp.Compare(a.RoundTrip, b.RoundTrip),
			cmp.Compare(a.Origin, b.Origin),
			cmp.Compare(a.Zone, b.Zone),
		)
	})
}

// usable returns how many slots may be planned for in the zone. The weight of
// its spare slots falls with the age of the report and is 0 from StaleAfter on.
// If stale reports counted in full, every origin would send its traffic to the
// zone that was idle at the time of the report.
func (z ZoneSupply) usable() float64 {
	if z.Drained {
		return 0
	}
	spare := max(0, z.Slots-z.InUse)
	weight := max(0, 1-float64(z.Age)/float64(StaleAfter))
	return min(z.Slots, z.InUse+spare*weight)
}

// fillAll places the demand: first below the headroom floors of near zones, then
// in the headroom of each origin's own zone, then in zones farther away. If a
// zone were filled completely by its own callers first, they would queue while
// near zones are idle. A round trip to another region, however, costs more than
// a short queue.
func (s *solver) fillAll() {
	near := 0
	for near < len(s.problem.Paths) && s.problem.Paths[near].RoundTrip < nearRTT {
		s.fill(s.problem.Paths[near], s.problem.HeadroomFloor)
		near++
	}
	for _, path := range s.problem.Paths[:near] {
		if path.Origin == path.Zone {
			s.fill(path, 0)
		}
	}
	for _, path := range s.problem.Paths[near:] {
		s.fill(path, s.problem.HeadroomFloor)
	}
}

// fill places demand on a path. It leaves free a share of the zone's slots, given
// by floor. This is a share of all slots and not of the usable ones: with an old
// report fewer slots are usable, so traffic that the zone carries now would be
// moved away, and the next report would move it back.
func (s *solver) fill(path Path, floor float64) {
	z := s.supply[path.Zone]
	room := min(z.usable(), z.Slots*(1-floor)) - s.filled[path.Zone]
	amount := min(s.unplaced[path.Origin], room)
	if path.MaxConcurrent > 0 {
		amount = min(amount, path.MaxConcurrent)
	}
	if amount <= 0 {
		return
	}
	s.unplaced[path.Origin] -= amount
	s.filled[path.Zone] += amount
	s.placed[path.Origin][path.Zone] += amount
}

// weights returns an origin's placed slots as shares. Demand that could not be
// placed is distributed like the placed part. If nothing was placed, all of it
// goes to the nearest zone that has any slots and is not drained.
func (s *solver) weights(d Demand) Weights {
	placed := s.placed[d.Origin]
	var total float64
	for _, slots := range placed {
		total += slots
	}
	if total <= 0 {
		return s.nearest(d.Origin)
	}
	for zone := range placed {
		placed[zone] /= total
	}
	return placed
}

func (s *solver) nearest(origin string) Weights {
	for _, path := range s.problem.Paths {
		z := s.supply[path.Zone]
		if path.Origin == origin && z.Slots > 0 && !z.Drained {
			return Weights{path.Zone: 1}
		}
	}
	return nil
}
