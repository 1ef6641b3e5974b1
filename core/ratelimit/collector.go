package ratelimit

import (
	"sync"
	"time"

	"auburnlatch/core/team"
)

// keepFor is how long a VM's demand is counted that tells no more: longer than the VM
// itself goes by the totals that it heard in answer.
const keepFor = holdFor + 500*time.Millisecond

// hotEvery is how often all teams are looked at for those that all VMs should know of.
const hotEvery = 250 * time.Millisecond

// Collector sums what is asked of all VMs. The zero value is ready. It is safe for
// concurrent use.
type Collector struct {
	mu   sync.Mutex
	vms  map[string]*told
	sums map[ID]float64
	// hot are the teams whose demand comes near their limits, as of hotAt.
	hot   []ID
	hotAt time.Time
}

// told is what one VM has told.
type told struct {
	at      time.Time
	demands map[ID]float64
}

// Told takes in what is asked of a VM. first begins a new telling, in place of the one
// before; what is too long for one message follows in others.
func (c *Collector) Told(now time.Time, vm string, list []Demand, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms == nil {
		c.vms, c.sums = make(map[string]*told), make(map[ID]float64)
	}
	t := c.vms[vm]
	if t == nil {
		t = &told{demands: make(map[ID]float64)}
		c.vms[vm] = t
	}
	t.at = now
	if first {
		c.forget(t)
	}
	for _, d := range list {
		if d.PerSecond < 0 {
			continue
		}
		c.sums[d.Team] += d.PerSecond - t.demands[d.Team]
		t.demands[d.Team] = d.PerSecond
	}
}

// forget takes a VM's demand out of the sums.
func (c *Collector) forget(t *told) {
	for id, rate := range t.demands {
		c.sums[id] -= rate
		if c.sums[id] < leastDemand {
			delete(c.sums, id)
		}
	}
	clear(t.demands)
}

// Total returns what is asked of all VMs for the teams of a list, and for the hot ones.
// vms is how many VMs may be running.
func (c *Collector) Total(now time.Time, asked []Demand, vms int) Total {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.vms {
		if now.Sub(t.at) > keepFor {
			c.forget(t)
			delete(c.vms, name)
		}
	}
	total := Total{Heard: len(c.vms), Silent: max(0, vms-len(c.vms))}
	listed := make(map[ID]bool, len(asked))
	for _, d := range asked {
		listed[d.Team] = true
		total.Demands = append(total.Demands, Demand{d.Team, c.sums[d.Team]})
	}
	for _, id := range c.hot {
		if !listed[id] {
			total.Demands = append(total.Demands, Demand{id, c.sums[id]})
		}
	}
	return total
}

// Look finds the hot teams among all. It does so now and then only, as there may be many.
func (c *Collector) Look(now time.Time, teams []*team.Team, hot func(t *team.Team, perSecond float64) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.hotAt) < hotEvery {
		return
	}
	c.hotAt, c.hot = now, nil
	for _, t := range teams {
		if id := IDOf(t.Name); hot(t, c.sums[id]) {
			c.hot = append(c.hot, id)
		}
	}
}
