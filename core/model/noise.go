package model

import (
	"math/rand/v2"
	"time"
)

// noise is how long work takes at a target, relative to the usual time: targets share their
// machines with others, and are slow in spells. A nil noise has no spells.
type noise struct {
	shape *Shape
	rnd   *rand.Rand
	// changes are the starts and ends of spells in turn.
	changes []time.Time
	next    int // Of changes, the first that is after the last time asked for.
}

func newNoise(shape *Shape, seed, target uint64) *noise {
	if shape.SlowShare == 0 {
		return nil
	}
	return &noise{shape: shape, rnd: rand.New(rand.NewPCG(seed, 2+target)), changes: []time.Time{Start}, next: 0}
}

// change returns the i-th change. Spells last half to one and a half times SlowFor.
func (n *noise) change(i int) time.Time {
	for len(n.changes) <= i {
		length := n.shape.SlowFor.Seconds()
		if len(n.changes)%2 == 1 {
			length *= 0.5 + n.rnd.Float64()
		} else {
			length *= (1 - n.shape.SlowShare) / n.shape.SlowShare * n.rnd.ExpFloat64()
		}
		n.changes = append(n.changes, n.changes[len(n.changes)-1].Add(time.Duration(length*float64(time.Second))))
	}
	return n.changes[i]
}

// at moves to a time, which must not be before the last one, and returns the pace there.
func (n *noise) at(now time.Time) float64 {
	if n == nil {
		return 1
	}
	for !n.change(n.next).After(now) {
		n.next++
	}
	return n.pace(n.next)
}

// pace returns the pace before the i-th change.
func (n *noise) pace(i int) float64 {
	if i%2 == 1 {
		return n.shape.SlowFactor
	}
	return 1
}

// finish returns when work is done that starts now and would take that long at the usual pace.
func (n *noise) finish(now time.Time, work time.Duration) time.Time {
	if n == nil {
		return now.Add(work)
	}
	n.at(now)
	for i := n.next; ; i++ {
		pace, until := n.pace(i), n.change(i)
		if end := now.Add(time.Duration(float64(work) * pace)); !end.After(until) {
			return end
		}
		work -= time.Duration(float64(until.Sub(now)) / pace)
		now = until
	}
}
