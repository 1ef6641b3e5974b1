package model

import (
	"time"

	"auburnlatch/core/target"
)

// Service is the name of the only service.
const Service = service

// TargetList returns the shape's targets.
func (s Shape) TargetList() []*target.Target { return s.targetList(0) }

// StillSlow returns the fraction of the targets that are slow some time after they were slow.
func StillSlow(s Shape, later time.Duration) float64 {
	const samples = 4000
	then, still := 0, 0
	n := newNoise(&s, 1, 1)
	for i := range samples {
		at := Start.Add(time.Duration(i) * 2 * time.Second)
		if n.at(at) == 1 {
			continue
		}
		then++
		if n.at(at.Add(later)) > 1 {
			still++
		}
	}
	return float64(still) / float64(then)
}
