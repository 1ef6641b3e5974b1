package wire

import (
	"math"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/schema"
)

// rateUnit is the unit of rates on the wire, in requests/s.
const rateUnit = 1e-3

// Report maps what a VM reports of its demand.
func Report(m *schema.TeamDemand) ratelimit.Report {
	return ratelimit.Report{Demands: teamDemands(m), Up: time.Duration(m.GetUpMillis()) * time.Millisecond, Continued: m.GetMore()}
}

// teamDemands maps the demands of teams. If the message's columns differ in length, the rows beyond
// the shortest column are left out; the columns of what is known may be absent.
func teamDemands(m *schema.TeamDemand) []ratelimit.Demand {
	rates, sent, known, ages := m.GetRates(), m.GetSent(), m.GetKnown(), m.GetKnownAgesMillis()
	list := make([]ratelimit.Demand, 0, len(rates))
	for i, id := range m.GetTeams() {
		if i >= len(rates) || i >= len(sent) {
			break
		}
		d := ratelimit.Demand{Team: ratelimit.ID(id), PerSecond: float64(rates[i]) * rateUnit, Sent: int(sent[i])}
		if i < len(known) && i < len(ages) {
			d.Known, d.KnownAge = int(known[i]), time.Duration(ages[i])*time.Millisecond
		}
		list = append(list, d)
	}
	return list
}

// FromReport maps what a VM reports of its demand. With ask it requests the totals.
func FromReport(r ratelimit.Report, ask bool) *schema.TeamDemand {
	m := fromTeamDemands(r.Demands)
	m.Ask, m.More, m.UpMillis = ask, r.Continued, millis(r.Up)
	for _, d := range r.Demands {
		m.Known = append(m.Known, uint32(max(0, d.Known)))
		m.KnownAgesMillis = append(m.KnownAgesMillis, millis(d.KnownAge))
	}
	return m
}

func fromTeamDemands(list []ratelimit.Demand) *schema.TeamDemand {
	m := &schema.TeamDemand{}
	for _, d := range list {
		m.Teams = append(m.Teams, uint32(d.Team))
		m.Rates = append(m.Rates, uint32(math.Round(min(math.MaxUint32, max(0, d.PerSecond/rateUnit)))))
		m.Sent = append(m.Sent, uint32(max(0, d.Sent)))
	}
	return m
}

// millis returns a duration in milliseconds, within the range of the wire type.
func millis(d time.Duration) uint32 {
	return uint32(min(math.MaxUint32, max(0, d.Milliseconds())))
}

// Total maps the demands of teams at all VMs.
func Total(m *schema.TeamDemand) ratelimit.Total {
	return ratelimit.Total{Demands: teamDemands(m), Heard: int(m.GetHeard()), Silent: float64(m.GetSilent())}
}

// FromTotal maps the demands of teams at all VMs.
func FromTotal(t ratelimit.Total) *schema.TeamDemand {
	m := fromTeamDemands(t.Demands)
	m.Heard, m.Silent = uint32(max(0, t.Heard)), float32(t.Silent)
	return m
}
