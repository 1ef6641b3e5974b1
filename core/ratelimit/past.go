package ratelimit

import "time"

// past is what a collector knows of the requests of one team that ended processes admitted. As it
// is not known when they were admitted, they count until a window after the last report.
type past struct {
	ended []endedCount
	// known is the highest number of requests that all VMs admitted in a window before the
	// collector started, heard of at knownAt.
	known   int
	knownAt time.Time
}

// endedCount is a number of requests that an ended process admitted, and counts until a time.
type endedCount struct {
	n     int
	until time.Time
}

// end records that a VM's process has ended, or is no longer heard of.
func (c *Collector) end(v *vmDemand) {
	for id, d := range v.demands {
		if d.Sent > 0 {
			p := c.pastOf(id)
			p.ended = append(p.ended, endedCount{d.Sent, v.at.Add(c.window)})
		}
	}
}

// recall records what a VM knows of the time before this collector started. What was admitted
// later is in the reports that it receives itself.
func (c *Collector) recall(now time.Time, d Demand) {
	at := now.Add(-d.KnownAge)
	if d.Known <= 0 || !at.Before(c.started) || d.KnownAge >= c.window {
		return
	}
	p := c.pastOf(d.Team)
	if d.Known > p.known || now.Sub(p.knownAt) >= c.window {
		p.known, p.knownAt = d.Known, at
	}
}

func (c *Collector) pastOf(id ID) *past {
	p := c.past[id]
	if p == nil {
		p = &past{}
		c.past[id] = p
	}
	return p
}

// endedSent returns how many requests of a team ended processes admitted in the last window, as
// far as known.
func (c *Collector) endedSent(now time.Time, id ID) int {
	p := c.past[id]
	if p == nil {
		return 0
	}
	ended, kept := 0, p.ended[:0]
	for _, e := range p.ended {
		if now.Before(e.until) {
			ended += e.n
			kept = append(kept, e)
		}
	}
	p.ended = kept
	if p.known > 0 && now.Sub(p.knownAt) < c.window {
		return max(ended, p.known-c.sentSince(id, p.knownAt))
	}
	if len(p.ended) == 0 {
		delete(c.past, id)
	}
	return ended
}

// sentSince returns the requests of a team that were admitted in the last window by processes
// that are known not to have started after t.
func (c *Collector) sentSince(id ID, t time.Time) (n int) {
	for _, v := range c.vms {
		if !v.started.After(t) {
			n += v.demands[id].Sent
		}
	}
	return n
}
