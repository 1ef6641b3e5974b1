package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"auburnlatch/core/dispatch"
)

// First, Before and Rank must agree on the order of VMs. VMs choose who performs a task by
// this order; if two of them disagree, both perform it or neither.
func TestFirstAndBeforeAgreeWithRank(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		vms := make([]string, r.IntN(20))
		for i := range vms {
			vms[i] = fmt.Sprint("vm", r.IntN(1000))
		}
		subject := fmt.Sprint("duty", r.IntN(5))
		ranked := dispatch.Rank(subject, vms)
		for n := range 5 {
			if got, want := dispatch.First(subject, vms, n), ranked[:min(n, len(ranked))]; !slices.Equal(got, want) {
				t.Fatalf("First(%d) of %v = %v, want %v", n, vms, got, want)
			}
		}
		for _, vm := range vms {
			if got, want := dispatch.Before(subject, vms, vm), slices.Index(ranked, vm); got != want {
				t.Fatalf("%d come before %s in %v, want %d", got, vm, ranked, want)
			}
		}
	}
}

// BenchmarkFirst and BenchmarkRank find the first two of 300 VMs.
func BenchmarkFirst(b *testing.B) {
	vms := names(300)
	for b.Loop() {
		dispatch.First("watch", vms, 2)
	}
}

func BenchmarkRank(b *testing.B) {
	vms := names(300)
	for b.Loop() {
		_ = dispatch.Rank("watch", vms)[:2]
	}
}

func names(n int) []string {
	vms := make([]string, n)
	for i := range vms {
		vms[i] = fmt.Sprint("vm", i)
	}
	return vms
}
