// Package ratelimit keeps teams within their limits, which hold over all VMs together,
// without asking anybody before a request is sent on.
//
// # The parts
//
// Each VM has a part of each team's limit, in proportion to what the team asks of it. Every
// VM tells one of them, the collector, what is asked of it, and hears the totals: its share
// is what it told, of the total. So the shares of VMs that heard the same add up to one.
// Equal parts would refuse most of a small team's requests, whose callers stay at few VMs.
//
// A request has to pass three bounds:
//
//   - a window: what the VM sent in the last Window is at most its share of what a window
//     allows;
//   - a token bucket, while the known demand comes near the limit: its rates add up to
//     little more than the limit, and its depths to the rest of what a window allows, less what is kept for
//     failures. When callers move from VM to VM, windows alone would let both the old
//     VM and the new one send their whole share within one Window;
//   - a brake: all VMs also tell what they sent, and none sends more while that comes near
//     what a window allows. It makes good what was sent before a jump of the demand was known.
//
// While the known demand is low, each VM may send a few requests beyond its window, as the
// parts of a small team's limit are smaller than what comes close together by chance, and
// some of the limit is dealt out equally to the VMs that callers use, so that callers who
// move there are not refused before their demand is known.
//
// # What pays for not knowing
//
//   - Totals are up to a second old. Demand that grows meanwhile stays within the windows,
//     but for the few requests beyond them, which the brake takes in.
//   - A VM that hears no totals keeps the share it had, and no more, for holdFor; the
//     collector counts it for longer than that. Then it has an equal part of one among the
//     VMs that callers use, and the collector keeps that back for each that it does not hear.
//   - A VM that has just started has such an equal part until it hears totals; its collector
//     answers nobody before the others had time to tell it. As nobody may know what was
//     sent before, it goes by less of the window for as long as one lasts.
//   - Where two VMs take themselves for the collector as neither hears the other, each keeps
//     back the equal parts of all VMs that it does not hear.
//
// # Usage
//
//	l.SetBounds(ratelimit.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20})
//	l.SetVMs(12)                                    // How many VMs callers use.
//	if wait, ok := l.Take(now, t); !ok { ... 429, come back after wait ... }
//	l.Return(now, t)                                // It was not sent on after all.
//	collector.Told(now, "vm-a", l.Demand(now), true)  // Where the collector is.
//	collector.Look(now, teams, l.Hot)
//	l.Heard(now, collector.Total(now, asked, vms))
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
