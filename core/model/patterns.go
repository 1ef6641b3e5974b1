package model

import "time"

// Shapes of services. Work, objectives, slots and cache sizes are those of the users'
// look-up services: a cached object takes 0.3 and 0.25 of the work.
var (
	// SmallShape is a service of 16 targets behind 10 VMs.
	SmallShape = Shape{
		Name: "small", Regions: 1, VMs: 10, Targets: 16, Slots: 4, Queue: 12, CacheSize: 74, Objects: 564,
		WorkMiss: 240 * time.Millisecond, WorkHit: 72 * time.Millisecond,
		Objective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond,
	}
	// GrownShape is a service of 126 targets behind 78 VMs, whose work on an object
	// that is not cached takes longer than the objective.
	GrownShape = Shape{
		Name: "grown", Regions: 1, VMs: 78, Targets: 126, Slots: 4, Queue: 12, CacheSize: 29, Objects: 1746,
		WorkMiss: 720 * time.Millisecond, WorkHit: 180 * time.Millisecond,
		Objective: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	}
	// FarShape is like SmallShape in three regions.
	FarShape = Shape{
		Name: "far", Regions: 3, VMs: 12, Targets: 18, Slots: 4, Queue: 12, CacheSize: 74, Objects: 564,
		WorkMiss: 240 * time.Millisecond, WorkHit: 72 * time.Millisecond,
		Objective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond, CrossRegionRTT: 110 * time.Millisecond,
	}
	// SlowShape is a service with few objects for each target. Work on an object that is
	// not cached takes longer than the objective, so each cache miss is a late response.
	SlowShape = Shape{
		Name: "slow", Regions: 3, VMs: 9, Targets: 12, Slots: 5, Queue: 15, CacheSize: 25, Objects: 72,
		WorkMiss: 880 * time.Millisecond, WorkHit: 264 * time.Millisecond,
		Objective: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, CrossRegionRTT: 70 * time.Millisecond,
	}
	// NoisyShape is a service whose targets share their machines with others, so that some are
	// slow at any time. An object that is not cached takes longer than the objective.
	NoisyShape = Shape{
		Name: "noisy", Regions: 1, VMs: 60, Targets: 108, Slots: 9, Queue: 27, CacheSize: 60, Objects: 2160,
		WorkMiss: 1100 * time.Millisecond, WorkHit: 330 * time.Millisecond,
		Objective: time.Second, Deadline: 6 * time.Second,
		SlowShare: 0.15, SlowFactor: 2.5, SlowFor: 600 * time.Millisecond,
	}
	// Shapes lists all shapes.
	Shapes = []Shape{SmallShape, GrownShape, FarShape, SlowShape, NoisyShape}
)

// Pattern is a load on any shape, relative to the capacity of its slots when all
// objects are cached.
type Pattern struct {
	Name   string
	Phases []PatternPhase
}

// PatternPhase is a period of a Pattern. Load is a fraction of the capacity, and Down
// the fraction of the targets that are down.
type PatternPhase struct {
	Length     time.Duration
	Load, Down float64
}

// PhasesFor returns the pattern's phases for a shape.
func (p Pattern) PhasesFor(s Shape) []Phase {
	var list []Phase
	for _, ph := range p.Phases {
		list = append(list, Phase{Length: ph.Length, PerSecond: s.Load(ph.Load), Down: ph.Down})
	}
	return list
}

// The patterns.
var (
	// ColdStart starts with all caches empty.
	ColdStart = Pattern{"cold start", []PatternPhase{{30 * time.Second, 0.58, 0}}}
	// HeavyColdStart is a cold start at a load close to the capacity.
	HeavyColdStart = Pattern{"heavy cold start", []PatternPhase{{20 * time.Second, 0.85, 0}}}
	// Burst has 1.8 times the steady load for five seconds.
	Burst = Pattern{"burst", []PatternPhase{{30 * time.Second, 0.58, 0}, {5 * time.Second, 1.05, 0}, {25 * time.Second, 0.58, 0}}}
	// Shrunk permanently removes a third of the targets while the load stays.
	Shrunk = Pattern{"shrunk", []PatternPhase{{20 * time.Second, 0.5, 0}, {30 * time.Second, 0.5, 0.35}}}
	// SixthLost is a cold start at a load that exceeds the capacity if objects are placed
	// unevenly, followed by the loss of a sixth of the targets.
	SixthLost = Pattern{"a sixth lost", []PatternPhase{{16 * time.Second, 0.65, 0}, {14 * time.Second, 0.65, 0.17}}}
	// Steep is a cold start at a load that leaves little room for slow spells.
	Steep = Pattern{"steep", []PatternPhase{{16 * time.Second, 0.7, 0}}}
	// Patterns lists all patterns.
	Patterns = []Pattern{ColdStart, HeavyColdStart, Burst, Shrunk, SixthLost, Steep}
)
