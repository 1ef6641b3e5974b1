package vm

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/io/lifecycle"
)

const (
	// probersPerUpstream is how many VMs of the zone probe an upstream.
	probersPerUpstream = 2
	// confirmInterval is the interval between searches for upstreams whose state the VM does not
	// know. They get a part of their requests only, so they are probed soon.
	confirmInterval = 100 * time.Millisecond
	// downThreshold is how many consecutive failed probes make an upstream Down.
	downThreshold = 2
)

// healthRecord has the results of this VM's own probes. It is safe for concurrent
// use.
type healthRecord struct {
	mu     sync.Mutex
	states map[string]dispatch.Health // By target.
	failed map[string]int             // Consecutive failed probes, by target.
	addrs  map[string]string          // The addresses that were probed, by target.
}

// record records the outcome of a probe and returns the upstream's state after and
// before it. A single failed probe does not change the state. A
// target at another address is another upstream.
func (r *healthRecord) record(target, addr string, h dispatch.Health, err error) (now, before dispatch.Health) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.states == nil {
		r.states, r.failed, r.addrs = map[string]dispatch.Health{}, map[string]int{}, map[string]string{}
	}
	if r.addrs[target] != addr {
		delete(r.states, target)
		delete(r.failed, target)
		r.addrs[target] = addr
	}
	before = r.states[target]
	if err != nil {
		r.failed[target]++
		if r.failed[target] < downThreshold {
			return before, before
		}
		h = dispatch.Down
	} else {
		r.failed[target] = 0
	}
	r.states[target] = h
	return h, before
}

// retain deletes the results of upstreams that this VM does not probe any more.
func (r *healthRecord) retain(probed map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.states, func(target string, _ dispatch.Health) bool { return !probed[target] })
	maps.DeleteFunc(r.failed, func(target string, _ int) bool { return !probed[target] })
	maps.DeleteFunc(r.addrs, func(target string, _ string) bool { return !probed[target] })
}

// forget deletes all results.
func (r *healthRecord) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.states)
	clear(r.failed)
}

// reports returns the states, other than Up, that the VM publishes to its peers.
func (r *healthRecord) reports() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]string)
	for target, h := range r.states {
		if h != dispatch.Up && h != dispatch.Unknown {
			out[target] = h.String()
		}
	}
	return out
}

// probes reports whether this VM has probed the target itself.
func (r *healthRecord) probes(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.states[target]
	return ok
}

// probeLoop probes the upstreams for which this VM is ranked among the probers.
func (v *VM) probeLoop(ctx context.Context) {
	lifecycle.Every(ctx, v.cfg.Timing.Probe, func(now time.Time) {
		live := v.table.Live(now)
		mine := make(map[string]bool)
		var wg sync.WaitGroup
		for _, t := range v.config.Inventory().ZoneTargets(v.cfg.Zone) {
			ranked := dispatch.Rank("probe/"+t.Name, live)
			if slices.Contains(ranked[:min(probersPerUpstream, len(ranked))], v.cfg.Name) {
				mine[t.Name] = true
				wg.Add(1)
				go (&probe{vm: v, target: t, done: wg.Done}).run(ctx)
			}
		}
		wg.Wait()
		v.health.retain(mine)
	})
}

// confirmLoop probes the upstreams that this VM sends requests to and whose state it does not
// know, each of them once in a probe interval at most.
func (v *VM) confirmLoop(ctx context.Context) {
	probed := make(map[string]time.Time)
	lifecycle.Every(ctx, confirmInterval, func(now time.Time) {
		maps.DeleteFunc(probed, func(_ string, at time.Time) bool { return now.Sub(at) >= v.cfg.Timing.Probe })
		for _, t := range v.pool.Unconfirmed() {
			if _, ok := probed[t.Name]; !ok {
				probed[t.Name] = now
				v.background.Add(1)
				go (&probe{vm: v, target: t, done: v.background.Done}).confirm(ctx)
			}
		}
	})
}

// probe is one probe of one upstream.
type probe struct {
	vm     *VM
	target *inventory.Target
	done   func()
}

// run probes the upstream and records the outcome.
func (p *probe) run(ctx context.Context) {
	defer p.done()
	began := time.Now()
	h, err := p.vm.upstreams.Probe(ctx, p.target)
	if ctx.Err() != nil || p.vm.links.Disturbed(began) {
		return
	}
	state, before := p.vm.health.record(p.target.Name, p.target.Addr, h, err)
	if err != nil && state != dispatch.Down {
		p.vm.pool.ProbeFailed(time.Now(), p.target.Name, err)
		return
	}
	p.vm.pool.ReportHealth(time.Now(), began, p.target.Name, state)
	if state != before && (state != dispatch.Up || before != dispatch.Unknown) {
		p.vm.log.WithFields(logrus.Fields{"Target": p.target.Name, "Health": state, "Before": before, "Err": err}).Info("HealthChanged")
	}
}

// confirm probes the upstream for this VM alone. A failed probe says nothing: the VMs that are
// ranked for the upstream find out whether it is Down.
func (p *probe) confirm(ctx context.Context) {
	defer p.done()
	began := time.Now()
	if h, err := p.vm.upstreams.Probe(ctx, p.target); err == nil {
		p.vm.pool.ReportHealth(time.Now(), began, p.target.Name, h)
	}
}

// mergeHealth applies the states that peers published for the upstreams that this
// VM does not probe itself.
func (v *VM) mergeHealth(now time.Time, inv *inventory.Inventory) {
	found := make(map[string]dispatch.Health)
	for _, m := range v.table.Peers(now) {
		if m.State != member.Live {
			continue
		}
		for target, name := range m.VM.Health {
			found[target] = worse(found[target], dispatch.ParseHealth(name))
		}
	}
	for _, t := range inv.ZoneTargets(v.cfg.Zone) {
		if !v.health.probes(t.Name) {
			v.pool.ReportHealth(now, now, t.Name, found[t.Name])
		}
	}
}

// worse returns the worse of two reported states, or Unknown if none of them is a reason to send
// less. Leaving comes first, as the upstream reports it itself, then Down, then Cold.
func worse(a, b dispatch.Health) dispatch.Health {
	for _, h := range []dispatch.Health{dispatch.Leaving, dispatch.Down, dispatch.Cold} {
		if a == h || b == h {
			return h
		}
	}
	return dispatch.Unknown
}
