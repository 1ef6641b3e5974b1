package vm

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/io/settings"
)

// defaultTiming has the intervals of the default settings, except for a short
// look-up TTL, so that VMs stop quickly.
var defaultTiming = settings.Timing{
	Heartbeat: 500 * time.Millisecond, FailAfter: 3 * time.Second, JoinHold: 6 * time.Second,
	ConfigPoll: time.Second, LookupTTL: 200 * time.Millisecond, Probe: time.Second, StopGrace: waitTimeout,
}

// idleFleet starts VMs with default intervals and no callers.
func idleFleet(b *testing.B, zones, perZone int) *fleet {
	b.Helper()
	var names []string
	for z := range zones {
		names = append(names, fmt.Sprint("z", z))
	}
	f := newFleet(b, names...)
	f.timing = defaultTiming
	var first *runningVM
	for _, z := range names {
		for i := range perZone {
			v := f.start(fmt.Sprintf("%s-vm%d", z, i), z)
			if first == nil {
				first = v
			}
		}
	}
	f.apply(first)
	return f
}

// BenchmarkControl measures the cost of the control protocol for an idle VM, by the
// number of zones and of VMs in a zone. Everything runs in this process, including
// the stand-ins.
func BenchmarkControl(b *testing.B) {
	const watch = 10 * time.Second
	for _, size := range []struct{ zones, perZone int }{{2, 2}, {2, 16}, {12, 2}, {24, 2}} {
		b.Run(fmt.Sprintf("Zones=%d/VMs=%d", size.zones, size.perZone), func(b *testing.B) {
			f := idleFleet(b, size.zones, size.perZone)
			for b.Loop() {
				<-time.After(watch)
				var before, after int64
				for _, v := range f.vms {
					in, out := v.controlTraffic()
					before += in + out
				}
				cpuBefore, reads := cpuTime(b), f.platform.Stats().Reads
				<-time.After(watch)
				for _, v := range f.vms {
					in, out := v.controlTraffic()
					after += in + out
				}
				perVM := float64(len(f.vms)) * watch.Seconds()
				b.ReportMetric(float64(after-before)/1000/perVM, "KB/s/VM")
				b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/1000/perVM, "cpu-ms/s/VM")
				b.ReportMetric(float64(f.platform.Stats().Reads-reads)/watch.Seconds(), "reads/s")
			}
		})
	}
}

// BenchmarkConfigPropagation measures the time from the acceptance of a change until
// it is in force on all of 12 VMs in six zones.
func BenchmarkConfigPropagation(b *testing.B) {
	f := idleFleet(b, 6, 2)
	var first *runningVM
	for _, v := range f.vms {
		first = v
	}
	var took []time.Duration
	for b.Loop() {
		version := first.Inventory().Version
		change := inventory.Change{ID: fmt.Sprint("c", version), Based: version, Ops: []inventory.Op{
			{Place: &inventory.Place{Name: fmt.Sprint("p", version), Zone: "z0"}},
		}}
		started := time.Now()
		if _, err := first.Accept(context.Background(), change, false); err != nil {
			b.Fatal(err)
		}
		for !f.allAt(version + 1) {
			<-time.After(time.Millisecond)
		}
		took = append(took, time.Since(started))
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds(), "s-median")
	b.ReportMetric(took[len(took)-1].Seconds(), "s-worst")
}
