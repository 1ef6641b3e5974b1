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
	sums map[ID]Demand
	// hot are the teams whose demand comes near their limits, as of hotAt.
	hot   []ID
	hotAt time.Time
}

// told is what one VM has told.
type told struct {
	at      time.Time
	demands map[ID]Demand
}

// Told takes in what is asked of a VM. first begins a new telling, in place of the one
// before; what is too long for one message follows in others.
func (c *Collector) Told(now time.Time, vm string, list []Demand, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms == nil {
		c.vms, c.sums = make(map[string]*told), make(map[ID]Demand)
	}
	t := c.vms[vm]
	if t == nil {
		t = &told{demands: make(map[ID]Demand)}
		c.vms[vm] = t
	}
	t.at = now
	if first {
		c.forget(t)
	}
	for _, d := range list {
		if d.PerSecond < 0 || d.Sent < 0 {
			continue
		}
		old := t.demands[d.Team]
		old.Team = d.Team
		c.add(old, -1)
		c.add(d, 1)
		t.demands[d.Team] = d
	}
}

// add adds a demand to the sums, or takes it out where sign is -1.
func (c *Collector) add(d Demand, sign int) {
	sum := c.sums[d.Team]
	sum.PerSecond += float64(sign) * d.PerSecond
	sum.Sent += sign * d.Sent
	c.sums[d.Team] = sum
}

// forget takes a VM's demand out of the sums.
func (c *Collector) forget(t *told) {
	for id, d := range t.demands {
		c.add(d, -1)
		if sum := c.sums[id]; sum.PerSecond < leastDemand && sum.Sent == 0 {
			delete(c.sums, id)
		}
	}
	clear(t.demands)
}

// Total returns what is asked of all VMs for the teams of a list, and for the hot ones.
// vms are the VMs that callers use: of each that is not heard an equal part is kept back.
func (c *Collector) Total(now time.Time, asked []Demand, vms []string) Total {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.vms {
		if now.Sub(t.at) > keepFor {
			c.forget(t)
			delete(c.vms, name)
		}
	}
	total := Total{Heard: len(c.vms), Silent: c.silent(vms)}
	listed := make(map[ID]bool, len(asked))
	for _, d := range asked {
		listed[d.Team] = true
		total.Demands = append(total.Demands, c.sum(d.Team))
	}
	for _, id := range c.hot {
		if !listed[id] {
			total.Demands = append(total.Demands, c.sum(id))
		}
	}
	return total
}

func (c *Collector) sum(id ID) Demand {
	d := c.sums[id]
	d.Team = id
	return d
}

// silent returns the part of VMs that are not heard.
func (c *Collector) silent(vms []string) float64 {
	n := 0
	for _, name := range vms {
		if c.vms[name] == nil {
			n++
		}
	}
	return float64(n) / float64(max(1, len(vms)))
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
		if id := IDOf(t.Name); hot(t, c.sums[id].PerSecond) {
			c.hot = append(c.hot, id)
		}
	}
}
