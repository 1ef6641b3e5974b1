package ratelimit

import (
	"sync"
	"time"

	"auburnlatch/core/team"
)

// demandTTL is how long the demand of a VM that stopped reporting is counted: longer than
// the VM itself uses the totals that it received in return.
const demandTTL = shareTTL + 500*time.Millisecond

// hotInterval is the minimum time between two searches for hot teams.
const hotInterval = 250 * time.Millisecond

// Collector sums the demand of all VMs. The zero value is ready to use. It is safe for
// concurrent use.
type Collector struct {
	mu     sync.Mutex
	window time.Duration
	// started is when the first report was received.
	started time.Time
	vms     map[string]*vmDemand
	sums    map[ID]Demand
	past    map[ID]*past
	// hot are the teams whose demand was close to their limits at hotAt.
	hot   []ID
	hotAt time.Time
}

// vmDemand is the demand that one VM reported.
type vmDemand struct {
	at time.Time
	// started is when its process started; zero: not known.
	started time.Time
	demands map[ID]Demand
}

// SetBounds sets the parameters that all limits share.
func (c *Collector) SetBounds(b Bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window = b.Window
}

// Record records what a VM reports.
func (c *Collector) Record(now time.Time, vm string, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms == nil {
		c.vms, c.sums, c.past = make(map[string]*vmDemand), make(map[ID]Demand), make(map[ID]*past)
		c.started = now
	}
	v := c.vms[vm]
	if v == nil {
		v = &vmDemand{demands: make(map[ID]Demand)}
		c.vms[vm] = v
	}
	var started time.Time
	if r.Up > 0 {
		started = now.Add(-r.Up)
	}
	if started.After(v.at) {
		c.end(v)
	}
	v.at = now
	if !r.Continued {
		v.started = started
		c.subtract(v)
	}
	for _, d := range r.Demands {
		if d.PerSecond < 0 || d.Sent < 0 {
			continue
		}
		c.recall(now, d)
		old := v.demands[d.Team]
		old.Team = d.Team
		c.add(old, -1)
		c.add(d, 1)
		v.demands[d.Team] = d
	}
}

// add adds a demand, multiplied by sign, to the sums.
func (c *Collector) add(d Demand, sign int) {
	sum := c.sums[d.Team]
	sum.PerSecond += float64(sign) * d.PerSecond
	sum.Sent += sign * d.Sent
	c.sums[d.Team] = sum
}

// subtract removes all demand of a VM from the sums.
func (c *Collector) subtract(v *vmDemand) {
	for id, d := range v.demands {
		c.add(d, -1)
		if sum := c.sums[id]; sum.PerSecond < minDemand && sum.Sent == 0 {
			delete(c.sums, id)
		}
	}
	clear(v.demands)
}

// Total returns the totals of the teams in asked and of all hot teams. vms are the VMs that
// callers use: an equal share is reserved for each of them that sends no reports.
// What ended processes admitted in the last window is included.
func (c *Collector) Total(now time.Time, asked []Demand, vms []string) Total {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, v := range c.vms {
		if now.Sub(v.at) > demandTTL {
			c.end(v)
			c.subtract(v)
			delete(c.vms, name)
		}
	}
	total := Total{Heard: len(c.vms), Silent: c.reservedFraction(vms)}
	listed := make(map[ID]bool, len(asked))
	for _, d := range asked {
		listed[d.Team] = true
		total.Demands = append(total.Demands, c.sum(now, d.Team))
	}
	for _, id := range c.hot {
		if !listed[id] {
			total.Demands = append(total.Demands, c.sum(now, id))
		}
	}
	return total
}

func (c *Collector) sum(now time.Time, id ID) Demand {
	d := c.sums[id]
	d.Team = id
	d.Sent += c.endedSent(now, id)
	return d
}

// reservedFraction returns the fraction of vms that send no reports.
func (c *Collector) reservedFraction(vms []string) float64 {
	n := 0
	for _, name := range vms {
		if c.vms[name] == nil {
			n++
		}
	}
	return float64(n) / float64(max(1, len(vms)))
}

// RefreshHot searches teams for the hot ones. As there may be many teams, it does nothing
// if the last search was less than hotInterval ago.
func (c *Collector) RefreshHot(now time.Time, teams []*team.Team, hot func(t *team.Team, perSecond float64) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.hotAt) < hotInterval {
		return
	}
	c.hotAt, c.hot = now, nil
	for _, t := range teams {
		if id := IDOf(t.Name); hot(t, c.sums[id].PerSecond) {
			c.hot = append(c.hot, id)
		}
	}
}
