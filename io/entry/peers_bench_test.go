package entry

import (
	"fmt"
	"testing"
	"time"

	"auburnlatch/core/member"
)

// BenchmarkPeerViews measures what a VM without callers computes about the others, by their
// number: the readers, the sources of its copies, the active VMs, and the partners of its exchanges.
func BenchmarkPeerViews(b *testing.B) {
	for _, n := range []int{300, 1_000, 2_000} {
		v, now := newVMWithPeers(n/9, func(vm *member.VM) { vm.PlatformTrip = time.Millisecond })
		for _, view := range []struct {
			name string
			f    func()
		}{
			{"Readers", func() { v.readerAddrs(now) }},
			{"Sources", func() { v.sources(now, 0, []string{"reader"}) }},
			{"Active", func() { v.findActive(now) }},
			{"Partners", func() { v.partners(now) }},
			{"Known", func() { v.knownByZone(now) }},
			{"Publish", func() { v.publish(now) }},
		} {
			b.Run(fmt.Sprint(view.name, "/", n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					view.f()
				}
			})
		}
	}
}
