package steer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/member"
)

// demandWindow is the time constant of the moving average of demand.
const demandWindow = 5 * time.Second

// minDemand is the demand, in slots, below which an idle flow is dropped.
const minDemand = 0.001

// Meter measures the demand of each origin in slots: the moving average of the
// slots that its requests hold, plus those that its refused requests would have
// held. It is safe for concurrent use; the zero value is ready to use.
type Meter struct {
	mu    sync.Mutex
	flows map[flowKey]*flow
}

type flowKey struct{ service, origin string }

// flow integrates the slots held by one origin's requests to one service over
// time.
type flow struct {
	held    int
	at      time.Time
	area    float64 // Slot-seconds since the last Sample.
	sampled time.Time
	average float64
}

// flow returns the flow of an origin's requests to a service, integrated up to
// now.
func (m *Meter) flow(now time.Time, service, origin string) *flow {
	if m.flows == nil {
		m.flows = map[flowKey]*flow{}
	}
	key := flowKey{service, origin}
	f := m.flows[key]
	if f == nil {
		f = &flow{at: now, sampled: now}
		m.flows[key] = f
	}
	f.area += float64(f.held) * now.Sub(f.at).Seconds()
	f.at = now
	return f
}

// Acquired counts a request that got a slot.
func (m *Meter) Acquired(now time.Time, service, origin string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flow(now, service, origin).held++
}

// Released counts a request that returned its slot.
func (m *Meter) Released(now time.Time, service, origin string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flow(now, service, origin).held--
}

// Refused counts a request that got no slot, and would have held one for took.
func (m *Meter) Refused(now time.Time, service, origin string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flow(now, service, origin).area += took.Seconds()
}

// Sample updates the averages and returns the demands, sorted by service and
// origin.
func (m *Meter) Sample(now time.Time) []member.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []member.Demand
	for key := range m.flows {
		f := m.flow(now, key.service, key.origin)
		f.sample(now)
		if f.held == 0 && f.average < minDemand {
			delete(m.flows, key)
			continue
		}
		list = append(list, member.Demand{Service: key.service, Origin: key.origin, Slots: f.average})
	}
	slices.SortFunc(list, func(a, b member.Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Origin, b.Origin))
	})
	return list
}

// sample adds the time since the last sample to the moving average.
func (f *flow) sample(now time.Time) {
	passed := now.Sub(f.sampled)
	if passed <= 0 {
		return
	}
	rate := f.area / passed.Seconds()
	weight := min(1, float64(passed)/float64(demandWindow))
	f.average += weight * (rate - f.average)
	f.area, f.sampled = 0, now
}
