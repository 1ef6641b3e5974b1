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
	// probers of an upstream.
	probers = 2
	// failedProbes in a row put an upstream down.
	failedProbes = 2
)

// healthBook is what this VM's own probes found. It is safe for concurrent use.
type healthBook struct {
	mu     sync.Mutex
	states map[string]dispatch.Health
	failed map[string]int
}

// note takes in a probe's outcome and returns the state it leaves the upstream
// in; one failed probe alone changes nothing.
func (b *healthBook) note(target string, h dispatch.Health, err error) (now, before dispatch.Health) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.states == nil {
		b.states, b.failed = map[string]dispatch.Health{}, map[string]int{}
	}
	before = b.states[target]
	if err != nil {
		b.failed[target]++
		if b.failed[target] < failedProbes {
			return before, before
		}
		h = dispatch.Down
	} else {
		b.failed[target] = 0
	}
	b.states[target] = h
	return h, before
}

// keep forgets upstreams this VM does not probe any more.
func (b *healthBook) keep(probed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.states, func(target string, _ dispatch.Health) bool { return !probed[target] })
	maps.DeleteFunc(b.failed, func(target string, _ int) bool { return !probed[target] })
}

// reports returns the states that are not Up, for the mates.
func (b *healthBook) reports() map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]string)
	for target, h := range b.states {
		if h != dispatch.Up {
			out[target] = h.String()
		}
	}
	return out
}

func (b *healthBook) probes(target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.states[target]
	return ok
}

// probeLoop probes the upstreams this VM is chosen for.
func (v *VM) probeLoop(ctx context.Context) {
	lifecycle.Every(ctx, v.cfg.Timing.Probe, func(now time.Time) {
		live := v.table.Live(now)
		mine := make(map[string]bool)
		var wg sync.WaitGroup
		for _, t := range v.config.Inventory().ZoneTargets(v.cfg.Zone) {
			ranked := dispatch.Rank("probe/"+t.Name, live)
			if slices.Contains(ranked[:min(probers, len(ranked))], v.cfg.Name) {
				mine[t.Name] = true
				wg.Add(1)
				go (&probe{vm: v, target: t, wg: &wg}).run(ctx)
			}
		}
		wg.Wait()
		v.health.keep(mine)
	})
}

// probe is one probe of one upstream.
type probe struct {
	vm     *VM
	target *inventory.Target
	wg     *sync.WaitGroup
}

// run probes and takes the outcome in.
func (p *probe) run(ctx context.Context) {
	defer p.wg.Done()
	h, err := p.vm.upstreams.Probe(ctx, p.target)
	if ctx.Err() != nil {
		return
	}
	state, before := p.vm.health.note(p.target.Name, h, err)
	p.vm.pool.ReportHealth(time.Now(), p.target.Name, state)
	if state != before {
		p.vm.log.WithFields(logrus.Fields{"Target": p.target.Name, "Health": state, "Before": before, "Err": err}).Info("HealthChanged")
	}
}

// takeHealth takes in what mates found about the upstreams this VM does not
// probe itself.
func (v *VM) takeHealth(now time.Time, inv *inventory.Inventory) {
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
			v.pool.ReportHealth(now, t.Name, found[t.Name])
		}
	}
}

// worse returns the state that counts of two reports: that an upstream leaves
// is its own word and outranks the rest.
func worse(a, b dispatch.Health) dispatch.Health {
	for _, h := range []dispatch.Health{dispatch.Leaving, dispatch.Down, dispatch.Cold} {
		if a == h || b == h {
			return h
		}
	}
	return dispatch.Up
}
