package steer

import (
	"math"
	"testing"
)

// Guards against VMs that start together and each send their first requests to the same zone: over
// all VMs that is a shift beyond the cap.
func TestStartedVMsPickByTheWeights(t *testing.T) {
	key := RowKey{"s", "a"}
	want := Weights{"a": 0.4, "b": 0.3, "c": 0.3}
	for requests := 1; requests <= 4; requests++ {
		got := map[string]int{}
		const vms = 986
		for range vms {
			var rows Rows
			rows.Row(key).Restore(want, nil)
			for range requests {
				got[rows.Row(key).Pick()]++
			}
		}
		for zone, w := range want {
			if share := float64(got[zone]) / (vms * float64(requests)); math.Abs(share-w) > 0.1 {
				t.Errorf("%d requests at each of %d VMs: zone %s got %.2f, its weight is %.2f", requests, vms, zone, share, w)
			}
		}
	}
}
