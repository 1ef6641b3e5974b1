package vm

import (
	"sync"
	"testing"
	"time"

	"auburnlatch/schema"
)

// Guards against callers who wait for a probe interval, or for the warm-up of unknown upstreams,
// after all VMs of a zone have started.
func TestStartedVMsUseAllSlotsOfUpUpstreams(t *testing.T) {
	f := newFleet(t, "z1")
	f.timing.Probe = waitTimeout // Only the first probe of each upstream counts.
	f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z1"})
	began := time.Now()
	f.waitFor("the slots of all upstreams may be used", func() bool {
		slots := 0
		for _, v := range f.vms {
			for _, s := range v.pool.Services(time.Now()) {
				slots += s.Slots
			}
		}
		return slots == 8
	})
	if took := time.Since(began); took > 3*confirmInterval {
		t.Errorf("all slots are used %v after they are in force", took)
	}
}

// Guards against an upstream that ends and is back, cold, between two probes, and that gets its full
// share at once through whole VMs.
func TestUpstreamThatIsBackColdWarmsUp(t *testing.T) {
	f := newFleet(t, "z1")
	f.timing.Probe = waitTimeout // No probe is due while the upstream is away.
	a := f.startServing(vmSpec{"a", "z1"})
	f.waitFor("both upstreams are up", func() bool { return len(a.pool.Unconfirmed()) == 0 })
	for _, u := range f.upstreams {
		u.SetFaults(&schema.UpstreamFaults{WorkMs: 300})
	}
	var callers sync.WaitGroup
	call := func(n int) {
		for range n {
			callers.Go(func() { f.get(a, "/istoric/x") })
		}
	}
	addr := a.Inventory().Target("z1-0").Addr
	a.links.set(true, addr)
	call(2) // One of them is sent to the upstream that is away, and then to the other.
	callers.Wait()
	f.upstreams["z1-0"].SetFaults(&schema.UpstreamFaults{State: "Cold", WorkMs: 300})
	a.links.set(false, addr)
	call(16)
	most := map[string]int{}
	for began := time.Now(); time.Since(began) < time.Second; <-time.After(pollInterval) {
		for _, s := range a.pool.Targets() {
			most[s.Target] = max(most[s.Target], s.InUse)
		}
	}
	callers.Wait()
	if most["z1-0"] != 1 || most["z1-1"] != 4 {
		t.Errorf("%d requests at once at the upstream that is back, %d at the other; want 1 and 4", most["z1-0"], most["z1-1"])
	}
}

// Guards against an upstream that is away for a single probe, while no request is sent to it, and
// that gets its full share at once.
func TestRefusedProbeMakesHealthUnknown(t *testing.T) {
	f := newFleet(t, "z1")
	f.timing.Probe = waitTimeout
	a := f.startServing(vmSpec{"a", "z1"})
	f.waitFor("both upstreams are up", func() bool { return len(a.pool.Unconfirmed()) == 0 })
	away := a.Inventory().Target("z1-0")
	a.links.set(true, away.Addr)
	(&probe{vm: a.VM, target: away, done: func() {}}).run(t.Context())
	if list := a.pool.Unconfirmed(); len(list) != 1 || list[0].Name != "z1-0" {
		t.Errorf("unknown upstreams: %v, want z1-0", list)
	}
	a.links.set(false, away.Addr)
	f.upstreams["z1-1"].SetFaults(&schema.UpstreamFaults{HealthDown: true})
	(&probe{vm: a.VM, target: a.Inventory().Target("z1-1"), done: func() {}}).run(t.Context())
	if list := a.pool.Unconfirmed(); len(list) != 1 {
		t.Errorf("unknown upstreams: %v, want z1-0 only: the other has not ended", list)
	}
}
