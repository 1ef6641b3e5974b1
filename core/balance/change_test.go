package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"auburnlatch/core/target"
)

// Guards against VMs that weigh regions differently because they learned the same targets in
// different steps.
func TestIncrementalSlotsMatchFullRecount(t *testing.T) {
	regions := []string{"east", "north", "south"}
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		there := make(map[string]*target.Target)
		b := New("vm", "north", "north-1")
		for range 60 {
			var set, gone []*target.Target
			for _, i := range r.Perm(20)[:r.IntN(5)] {
				id := fmt.Sprint("i-", i)
				if old := there[id]; old != nil && r.IntN(3) == 0 {
					delete(there, id)
					gone = append(gone, old)
					continue
				}
				region := regions[r.IntN(3)]
				there[id] = &target.Target{
					ID: id, Born: int64(r.IntN(2)), Service: fmt.Sprint("s-", r.IntN(2)), Region: region, Zone: region + "-1",
					Slots: 1 + r.IntN(4), Usable: r.IntN(4) > 0,
				}
				set = append(set, there[id])
			}
			b.ChangeTargets(set, gone)
			fresh := New("vm", "north", "north-1")
			var all []*target.Target
			for _, target := range there {
				all = append(all, target)
			}
			fresh.SetTargets(all)
			if got, want := slots(b), slots(fresh); !reflect.DeepEqual(got, want) {
				t.Fatalf("seed %d: %v, want %v", seed, got, want)
			}
		}
	}
}

// slots returns the regions' slots by service, and how many targets have each region index.
func slots(b *Balancer) map[string]any {
	out := make(map[string]any)
	for service, p := range b.services {
		out[service] = p.slots()
		noted := make(map[string]int)
		for i, s := range p.states {
			if s.index != i {
				noted["misplaced"]++
			}
			noted[p.regions[s.region].region+" for "+s.Region]++
		}
		out[service+" noted"] = noted
	}
	return out
}
