package model

import (
	"fmt"
	"time"

	"auburnlatch/core/target"
)

// Shape is a service with its VMs and callers.
type Shape struct {
	Name string
	// Regions is the number of regions. VMs, targets and objects are assigned to them
	// round robin.
	Regions int
	VMs     int
	Targets int
	// Slots is the number of requests that a target runs at once, Queue the number that
	// wait there.
	Slots, Queue int
	// CacheSize is the number of objects that a target caches, Objects their total number.
	CacheSize, Objects int
	// WorkMiss and WorkHit are the average work on an object that a target has not
	// cached and on one that it has.
	WorkMiss, WorkHit time.Duration
	// Objective is the objective for the latency, and callers cancel after Deadline.
	Objective, Deadline time.Duration
	// Targets are slow for SlowShare of the time, in spells of about SlowFor in which work takes
	// SlowFactor times as long. SlowShare is 0 where they are not.
	SlowShare, SlowFactor float64
	SlowFor               time.Duration
	// CrossRegionRTT is the RTT between regions.
	CrossRegionRTT time.Duration
	// Classes are the kinds of requests, if they differ; none: all are as above.
	Classes []Class
}

// Class is a kind of requests.
type Class struct {
	Rank int
	Team string
	// Limit is the team's limit in requests per second; 0: none.
	Limit float64
	// WorkMiss, WorkHit and Objective are as in Shape.
	WorkMiss, WorkHit, Objective time.Duration
}

// Load returns the rate of requests per second that occupies a fraction of all slots
// when all objects are cached.
func (s Shape) Load(part float64) float64 {
	return part * float64(s.Targets*s.Slots) / s.WorkHit.Seconds()
}

// Phase is a period with a constant rate of requests.
type Phase struct {
	Length    time.Duration
	PerSecond float64
	// Down is the fraction of the targets that are down.
	Down float64
	// Mix is the number of requests of each class, relative to each other.
	Mix []float64
}

// class returns the class of a request for a draw from [0, 1).
func (p Phase) class(draw float64) int {
	sum := 0.0
	for _, n := range p.Mix {
		sum += n
	}
	for i, n := range p.Mix {
		if draw -= n / sum; draw < 0 {
			return i
		}
	}
	return 0
}

func (s Shape) region(i int) string { return fmt.Sprint("region", i%s.Regions) }

// targetList returns the registered targets, of which a fraction is down.
func (s Shape) targetList(down float64) []*target.Target {
	var list []*target.Target
	for i := range s.Targets {
		list = append(list, &target.Target{
			ID: fmt.Sprint(i), Service: service, Region: s.region(i), Zone: s.region(i),
			Slots: s.Slots, Usable: i >= int(down*float64(s.Targets)),
		})
	}
	return list
}

// service is the name of the only service.
const service = "s"
