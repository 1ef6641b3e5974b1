package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnlatch/core/team"
)

// Bounds are the parameters that all limits share. The window limit of a team, the number
// of requests that it may send in each Window, is
// (RatePerSecond x Window + Burst) x (1 + Excess) + Slack.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Demand is a team's demand, at one VM or at all of them.
type Demand struct {
	Team ID
	// PerSecond is the rate of requests that arrive, Sent the number of requests admitted
	// in the last window.
	PerSecond float64
	Sent      int
	// Known is the highest number of requests that all VMs admitted in a window, as the VM that
	// reports the demand heard KnownAge ago, within the last window.
	Known    int
	KnownAge time.Duration
}

// Report is what a VM reports of its demand.
type Report struct {
	Demands []Demand
	// Up is the age of the VM's process; 0 if it is not known.
	Up time.Duration
	// Continued means that the report continues the VM's previous one, which was too long for one
	// message.
	Continued bool
}

// Total is the demand at all VMs, as summed by the collector.
type Total struct {
	Demands []Demand
	// Heard is the number of VMs whose demand is included.
	Heard int
	// Silent is the fraction of all limits reserved for VMs that send no reports.
	Silent float64
}

// ID identifies a team in messages between VMs: a hash of its name. The chance that two of
// 77 teams have the same ID is one in a million; they would be counted as one team and
// limited too early.
type ID uint32

// IDOf returns the ID of the team with the given name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

const (
	// rateOvercommit is the sum of the rates of all VMs' buckets, relative to the limit.
	// VMs whose demand is momentarily below their share leave some of it unused. The global
	// check bounds what all of them admit.
	rateOvercommit = 1.15
	// depthFraction is the fraction of the total bucket depth that is divided among VMs, and
	// windowFraction that of the window limit. The rest covers shares that change while
	// messages are in flight.
	depthFraction  = 0.7
	windowFraction = 0.8
	// startupFraction scales a VM's window allowance for the first window after its start, and
	// startupGlobalFraction takes the place of globalFraction: what ended processes admitted
	// may not be known in full.
	startupFraction       = 0.8
	startupGlobalFraction = 0.6
	// startupRequests is the number of requests that a VM may admit without a token in that
	// window, at low load.
	startupRequests = 2
	// globalFraction is the fraction of the window limit at which no VM admits more. What
	// VMs admit before they learn of it amounts to one second of the limit.
	globalFraction = 0.8
	// lowLoadFraction is the fraction of a VM's share of the window limit that it may admit
	// without a token in a window, at low load. It bounds what is admitted before a jump in
	// demand is known, and forgotten if VMs are killed right after it.
	lowLoadFraction = 0.2
	// lowLoadRequests is the number of requests that a VM may admit in a window whatever its
	// share, at low load. lowLoadDeviations is by how many standard deviations a VM may
	// exceed its share of the window then: random arrivals have a standard deviation of the
	// square root of their mean.
	lowLoadRequests   = 8
	lowLoadDeviations = 2.0
	// lowLoadThreshold is the known demand, as a fraction of the window limit, up to which
	// load is low and some requests pass without a token.
	lowLoadThreshold = 0.7
	// jumpFraction is what VMs admit in addition to the rate of their buckets when demand rises
	// far above the limit, as a fraction of the window limit: full buckets, and requests
	// without a token.
	jumpFraction = 0.45
	// equalFraction is the fraction of a limit that is divided equally among the VMs that
	// callers use, and lowLoadEqualFraction its minimum at low load. Callers who move reach
	// VMs at which their team had no demand.
	equalFraction        = 0.05
	lowLoadEqualFraction = 0.3
)

// bucketTotals returns the sums of the rates and the depths of all VMs' buckets.
func (b Bounds) bucketTotals(t *team.Team) (rate, depth float64) {
	rate = rateOvercommit * t.RatePerSecond
	return rate, depthFraction * (b.windowLimit(t) - rate*b.Window.Seconds())
}

// windowLimit returns the number of requests allowed in a window, over all VMs.
func (b Bounds) windowLimit(t *team.Team) float64 {
	return (t.RatePerSecond*b.Window.Seconds()+t.Burst)*(1+b.Excess) + b.Slack
}

// maxSent returns how many requests all VMs can have admitted in a part of a window, in seconds,
// in which the demand rose far above the limit.
func (b Bounds) maxSent(t *team.Team, seconds float64) float64 {
	rate, _ := b.bucketTotals(t)
	return min(b.windowLimit(t), jumpFraction*b.windowLimit(t)+rate*seconds)
}

// load returns a rate of demand as a fraction of the window limit.
func (b Bounds) load(t *team.Team, perSecond float64) float64 {
	return perSecond * b.Window.Seconds() / b.windowLimit(t)
}
