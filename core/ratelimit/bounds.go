package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/team"
)

// Bounds say what a team may have: in each Window at most
// (RatePerSecond x Window + Burst) x (1 + Excess) + Slack requests.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Demand is what a team asks for.
type Demand struct {
	Team ID
	// PerSecond is how many requests a second are asked for, Sent how many were sent on in
	// the last window.
	PerSecond float64
	Sent      int
}

// Total is what is asked of all VMs.
type Total struct {
	Demands []Demand
	// Heard is how many VMs' demand the sums are of.
	Heard int
	// Silent is the part of all limits that is kept back for VMs that are not heard.
	Silent float64
}

// ID names a team between VMs: a hash of its name. Two of 77 teams share one with a
// chance of one in a million; they are then counted as one, and limited too soon.
type ID uint32

// IDOf returns the ID of the team of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

const (
	// rateOver is how far the rates of the buckets add up beyond the limit: at VMs of which
	// a team asks less than their share at the moment, some of it is lost. What all send
	// is bound by the brake.
	rateOver = 1.15
	// depthUsed is the part of the depth that VMs have, and windowUsed that of what a
	// window allows; the rest pays for shares that change while messages are under way.
	depthUsed  = 0.7
	windowUsed = 0.8
	// youngUsed is the part of that which a VM has that started within a window.
	youngUsed = 0.8
	// brakeAt is the part of what a window allows at which no VM sends more: what they send
	// before they hear of it is a second of the limit.
	brakeAt = 0.8
	// freeSends is how many requests a VM may send in a window whatever its share, while
	// demand is low, and freeSpread how many standard deviations beyond its part of a
	// window: what comes by chance is spread by the square root of it.
	freeSends  = 8
	freeSpread = 2.0
	// freeBelow is the part of what a window allows below which a team's known demand
	// passes without a token.
	freeBelow = 0.7
	// boundEqual is the part of a limit that is dealt out equally to the VMs that callers
	// use, and freeEqual the least while demand is low: callers who move come to VMs that
	// their team asked nothing of.
	boundEqual = 0.05
	freeEqual  = 0.3
)

// whole returns the rate and the depth of all VMs' buckets together.
func (b Bounds) whole(t *team.Team) (rate, depth float64) {
	rate = rateOver * t.RatePerSecond
	return rate, depthUsed * (b.allowed(t) - rate*b.Window.Seconds())
}

// allowed is how many requests a window may have.
func (b Bounds) allowed(t *team.Team) float64 {
	return (t.RatePerSecond*b.Window.Seconds()+t.Burst)*(1+b.Excess) + b.Slack
}

// load is a demand as a part of what a window allows.
func (b Bounds) load(t *team.Team, perSecond float64) float64 {
	return perSecond * b.Window.Seconds() / b.allowed(t)
}
