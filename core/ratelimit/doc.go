// Package ratelimit keeps teams within their limits, which hold over all VMs together,
// without asking anybody before a request is sent on.
//
// # The parts
//
// Each VM has a part of each team's limit, in proportion to what the team asks of it: the
// parts of VMs that know the same demand add up to the limit, whatever it is. Every VM
// tells one of them, the collector, what is asked of it, and hears the totals. Equal parts
// would refuse most of a small team's requests, whose callers stay at few VMs.
//
// A part has a rate and a depth, as a token bucket. Rates add up to a little more than the
// team's limit and depths to the rest of what a window allows, less what is kept for
// failures. While the demand that is known lies well below the limit, nothing is refused:
// a bucket of a hundredth of a limit would refuse what comes close together by chance.
//
// # What pays for not knowing
//
//   - Totals are up to a second old. Demand that grows meanwhile is taken out of the
//     buckets, whose depths are within the window's sum.
//   - A VM that hears no totals keeps the share it had, and no more, for holdFor. The
//     collector counts it for longer than that. Then it has an equal part of one among all
//     VMs, and the collector keeps that back for each VM it does not hear.
//   - A collector that has just started answers nobody before the others had time to tell
//     it. Until a VM has heard totals it has an equal part.
//   - Two VMs that take themselves for the collector, where neither hears the other, each
//     keep back the equal parts of all VMs the other one hears.
//
// # Usage
//
//	l.SetBounds(ratelimit.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20})
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

// Demand is how many requests a second a team asks for.
type Demand struct {
	Team      ID
	PerSecond float64
}

// Total is what is asked of all VMs.
type Total struct {
	Demands []Demand
	// Heard is how many VMs' demand the sums are of, and Silent of how many more
	// nothing is known.
	Heard, Silent int
}

// ID names a team between VMs: a hash of its name. Two of 77 teams share one with a
// chance of one in a million; they are then counted as one, and limited too soon.
type ID uint32

// IDOf returns the ID of the team of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

const (
	// rateExcess is the part of the excess that the rates of the buckets take; what is
	// left adds to their depth.
	rateExcess = 0.5
	// depthUsed is the part of the depth that VMs have; the rest pays for demand that is
	// not known yet.
	depthUsed = 0.8
	// freeBelow is the part of what a window allows below which a team's known demand is
	// not limited.
	freeBelow = 0.7
)

// whole returns the rate and the depth of all VMs' buckets together.
func (b Bounds) whole(t *team.Team) (rate, depth float64) {
	rate = t.RatePerSecond * (1 + rateExcess*b.Excess)
	return rate, depthUsed * (b.allowed(t) - rate*b.Window.Seconds())
}

// allowed is how many requests a window may have.
func (b Bounds) allowed(t *team.Team) float64 {
	return (t.RatePerSecond*b.Window.Seconds()+t.Burst)*(1+b.Excess) + b.Slack
}

// free is the demand in requests a second up to which nothing is refused. silent is the
// part of the limit that VMs may use of which nothing is known.
func (b Bounds) free(t *team.Team, silent float64) float64 {
	return (freeBelow - silent) * b.allowed(t) / b.Window.Seconds()
}
