package wire

import (
	"math"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/throttle"
	"auburnlatch/schema"
)

// Reports maps reports of upstreams' own notices.
func Reports(list []*schema.UpstreamReport) []balance.Report {
	out := make([]balance.Report, 0, len(list))
	for _, m := range list {
		r := balance.Report{Target: m.GetTarget(), Born: m.GetBorn(), Leaving: m.GetLeaving()}
		if l := m.GetLimit(); l != nil {
			r.Limit = &throttle.Report{
				Limited: l.GetLimited(), PerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMillis()) * time.Millisecond,
			}
		}
		out = append(out, r)
	}
	return out
}

// FromReports maps reports of upstreams' own notices.
func FromReports(list []balance.Report) []*schema.UpstreamReport {
	out := make([]*schema.UpstreamReport, 0, len(list))
	for _, r := range list {
		m := &schema.UpstreamReport{Target: r.Target, Born: r.Born, Leaving: r.Leaving}
		if l := r.Limit; l != nil {
			age := min(math.MaxUint32, max(0, l.Age.Milliseconds()))
			m.Limit = &schema.UpstreamLimit{Limited: l.Limited, PerSecond: l.PerSecond, AgeMillis: uint32(age)}
		}
		out = append(out, m)
	}
	return out
}
