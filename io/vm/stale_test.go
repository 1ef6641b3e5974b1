package vm

import (
	"testing"
	"time"
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
