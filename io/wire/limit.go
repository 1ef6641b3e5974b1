package wire

import (
	"math"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/throttle"
	"auburnlatch/schema"
)

// Limits maps what upstreams say of the requests that they take.
func Limits(list []*schema.UpstreamLimit) []balance.LimitReport {
	out := make([]balance.LimitReport, 0, len(list))
	for _, m := range list {
		out = append(out, balance.LimitReport{Target: m.GetTarget(), Born: m.GetBorn(), Report: throttle.Report{
			Limited: m.GetLimited(), PerSecond: m.GetPerSecond(), Age: time.Duration(m.GetAgeMillis()) * time.Millisecond,
		}})
	}
	return out
}

// FromLimits maps what upstreams say of the requests that they take.
func FromLimits(list []balance.LimitReport) []*schema.UpstreamLimit {
	out := make([]*schema.UpstreamLimit, 0, len(list))
	for _, r := range list {
		age := min(math.MaxUint32, max(0, r.Age.Milliseconds()))
		out = append(out, &schema.UpstreamLimit{
			Target: r.Target, Born: r.Born, Limited: r.Limited, PerSecond: r.PerSecond, AgeMillis: uint32(age),
		})
	}
	return out
}
