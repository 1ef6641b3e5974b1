package wire_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// BenchmarkEvidence is what one VM does each time it tells others or is told, if two fifths of its
// upstreams, but at most 200, have failed it: "tell" collects and packs, "hear" unpacks and merges. "quiet" is
// telling nothing, as none has failed.
func BenchmarkEvidence(b *testing.B) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, n := range []int{226, 900, 9999} {
		var targets []*target.Target
		for i := range n {
			targets = append(targets, &target.Target{ID: fmt.Sprintf("i-%010x", i), Born: start.UnixMilli(), Service: "s", Region: "r", Zone: "z", Slots: 9, Usable: true})
		}
		vm := balance.New("a", "r", "z")
		vm.SetTargets(targets)
		vm.SetSharing(func(bool) bool { return true })
		b.Run(fmt.Sprint("quiet/upstreams=", n), func(b *testing.B) {
			for b.Loop() {
				vm.Evidence(start, time.Second)
			}
		})
		failed := min(200, 2*n/5)
		for i := 0; len(vm.Evidence(start, time.Second)) < failed; i++ {
			l, err := vm.Choose(start, balance.Request{Service: "s", Key: fmt.Sprint(i)})
			if err != nil {
				b.Fatal(err)
			}
			vm.Done(start, l, balance.Outcome{Failed: true})
		}
		var m *schema.Datagram
		b.Run(fmt.Sprint("tell/upstreams=", n), func(b *testing.B) {
			for b.Loop() {
				m = &schema.Datagram{Evidence: wire.FromEvidence(vm.Evidence(start, time.Second))}
				if _, err := proto.Marshal(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(m)), "bytes")
		})
		b.Run(fmt.Sprint("hear/upstreams=", n), func(b *testing.B) {
			data, err := proto.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			other := balance.New("b", "r", "z")
			other.SetTargets(targets)
			other.SetSharing(func(bool) bool { return true })
			for b.Loop() {
				var m schema.Datagram
				if err := proto.Unmarshal(data, &m); err != nil {
					b.Fatal(err)
				}
				other.MergeEvidence(start, "a", wire.Evidence(m.GetEvidence()))
			}
		})
	}
}
