package wire

import (
	"math"

	"auburnlatch/core/ratelimit"
	"auburnlatch/schema"
)

// rateUnit is the unit of rates on the wire, in requests/s.
const rateUnit = 1e-3

// Demands maps the demands of teams at a VM. If the message's columns differ in length, the
// rows beyond the shortest column are left out.
func Demands(m *schema.TeamDemand) []ratelimit.Demand {
	rates, sent := m.GetRates(), m.GetSent()
	list := make([]ratelimit.Demand, 0, len(rates))
	for i, id := range m.GetTeams() {
		if i >= len(rates) || i >= len(sent) {
			break
		}
		list = append(list, ratelimit.Demand{Team: ratelimit.ID(id), PerSecond: float64(rates[i]) * rateUnit, Sent: int(sent[i])})
	}
	return list
}

// FromDemands maps the demands of teams at a VM.
func FromDemands(list []ratelimit.Demand, ask, more bool) *schema.TeamDemand {
	m := &schema.TeamDemand{Ask: ask, More: more}
	for _, d := range list {
		m.Teams = append(m.Teams, uint32(d.Team))
		m.Rates = append(m.Rates, uint32(math.Round(min(math.MaxUint32, max(0, d.PerSecond/rateUnit)))))
		m.Sent = append(m.Sent, uint32(max(0, d.Sent)))
	}
	return m
}

// Total maps the demands of teams at all VMs.
func Total(m *schema.TeamDemand) ratelimit.Total {
	return ratelimit.Total{Demands: Demands(m), Heard: int(m.GetHeard()), Silent: float64(m.GetSilent())}
}

// FromTotal maps the demands of teams at all VMs.
func FromTotal(t ratelimit.Total) *schema.TeamDemand {
	m := FromDemands(t.Demands, false, false)
	m.Heard, m.Silent = uint32(max(0, t.Heard)), float32(t.Silent)
	return m
}
