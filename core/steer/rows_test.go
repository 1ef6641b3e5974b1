package steer

import (
	"math"
	"testing"
	"time"
)

// Guards against VMs that start together and each begin with the same zone.
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

// Guards against a service that is removed and added again and shifts its traffic at once.
func TestServiceThatComesBackKeepsTheCap(t *testing.T) {
	key, limit := RowKey{"s", "a"}, Limit{Cap: testCap}
	all := func(RowKey) bool { return true }
	none := func(RowKey) bool { return false }
	var rows Rows
	rows.Move(start, key, Weights{"a": 1}, limit)
	rows.Move(at(1), key, Weights{"b": 1}, limit)
	rows.Retain(at(2), none)
	rows.Retain(at(20), none)
	rows.Move(at(21), key, Weights{"b": 1}, limit)
	rows.Retain(at(21), all)
	if moved := rows.Row(key).Weights()["b"]; moved > testCap+slack {
		t.Errorf("%.2f of the traffic moved within a minute, cap %.2f", moved, testCap)
	}
	rows.Retain(at(100), none)
	rows.Retain(at(100).Add(Window+time.Second), none)
	if n := len(rows.Keys()); n != 0 {
		t.Errorf("%d rows are left of a service that was removed", n)
	}
}
