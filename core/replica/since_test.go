package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/replica"
)

// Guards against rows that a delta omits: a replica that applies it would lack them forever.
func TestReplicasThatSyncRarelyAreComplete(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		source := replica.NewTable("t", sameBeforeBar)
		replicas := make([]*replica.Table, 4)
		for i := range replicas {
			replicas[i] = replica.NewTable("t", sameBeforeBar)
		}
		values := make(map[string]string) // On the platform.
		now, version := start, uint64(1)
		source.Apply(now, whole(version))
		for step := range 400 {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			from := version
			var rows []replica.Row
			for range r.IntN(4) {
				version++
				key := fmt.Sprint("k", r.IntN(25))
				if _, ok := values[key]; ok && r.IntN(3) == 0 {
					delete(values, key)
					rows = append(rows, gone(key, version))
					continue
				}
				values[key] = fmt.Sprint(r.IntN(3))
				rows = append(rows, row(key, fmt.Sprint(values[key], "|", version), version))
			}
			if r.IntN(20) == 0 { // As when the platform has no history left.
				rows = rows[:0]
				for key, value := range values {
					rows = append(rows, row(key, value+"|", version))
				}
				source.Apply(now, whole(version, rows...))
			} else {
				source.Apply(now, changes(from, version, rows...))
			}
			c := replicas[r.IntN(len(replicas))]
			d := source.Since(now, c.Head(now).Version)
			d.FromPeer = true
			c.Apply(now, d)
			list, _ := c.Rows()
			n := 0
			for _, row := range list {
				if row.Removed {
					continue
				}
				n++
				if want, ok := values[row.Key]; !ok || !sameBeforeBar("", row.Value, []byte(want)) {
					t.Fatalf("seed %d, step %d: after a sync the value of %s is %q, want %q (present: %v)", seed, step, row.Key, row.Value, want, ok)
				}
			}
			if n != len(values) {
				t.Fatalf("seed %d, step %d: after a sync a replica has %d rows, want %d", seed, step, n, len(values))
			}
		}
	}
}

// Guards against changes that Changed omits and that are therefore never used.
func TestChangedReturnsAllChanges(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, whole(5, row("a", "1", 3), row("b", "1", 4)))
	if rows, _ := tbl.Changed(); len(rows) != 2 {
		t.Errorf("%d rows changed in the first delta, want 2", len(rows))
	}
	tbl.Apply(start, changes(5, 7, row("a", "1|beat", 6)))
	if rows, _ := tbl.Changed(); len(rows) != 0 {
		t.Errorf("%d rows changed by a heartbeat, want none", len(rows))
	}
	tbl.Apply(start, changes(7, 8, gone("b", 8)))
	if rows, _ := tbl.Changed(); len(rows) != 1 || rows[0].Key != "b" || !rows[0].Removed {
		t.Errorf("changed after a removal: %+v, want b removed", rows)
	}
	tbl.Apply(start, changes(8, 9, row("c", "1", 9)))
	tbl.Apply(start, changes(9, 10, gone("c", 10)))
	tbl.Apply(start.Add(time.Hour), changes(10, 11))
	if rows, expired := tbl.Changed(); len(rows) != 0 || len(expired) == 0 {
		t.Errorf("changed after the tombstones expired: rows %+v and expired keys %v, want c among the keys only", rows, expired)
	}
}
