package entry

import (
	"fmt"
	"testing"
	"time"

	"auburnlatch/core/member"
)

// BenchmarkLook is what a VM without callers works out about the others, by how many they are:
// who reads for all, whom it asks for its copies, who sends to upstreams, whom it exchanges with.
func BenchmarkLook(b *testing.B) {
	for _, n := range []int{300, 1_000, 2_000} {
		v, now := vmAmong(n/9, func(vm *member.VM) { vm.PlatformTrip = time.Millisecond })
		for _, look := range []struct {
			name string
			f    func()
		}{
			{"Watchers", func() { v.watchers(now) }},
			{"Sources", func() { v.sources(now, 0, []string{"reader"}) }},
			{"Senders", func() { v.findSenders(now) }},
			{"Partners", func() { v.partners(now) }},
			{"Known", func() { v.knownNames(now) }},
			{"Publish", func() { v.publish(now) }},
		} {
			b.Run(fmt.Sprint(look.name, "/", n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					look.f()
				}
			})
		}
	}
}
