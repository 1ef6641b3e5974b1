package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/replica"
)

// Guards against rows that an exchange leaves out, which are missing for good at who asked.
func TestCopiesThatAskNowAndThenAreComplete(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		source := replica.NewTable("t", sameBeforeBar)
		copies := make([]*replica.Table, 4)
		for i := range copies {
			copies[i] = replica.NewTable("t", sameBeforeBar)
		}
		there := make(map[string]string) // What the platform has.
		now, version := start, uint64(1)
		source.Apply(now, whole(version))
		for step := range 400 {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			from := version
			var rows []replica.Row
			for range r.IntN(4) {
				version++
				key := fmt.Sprint("k", r.IntN(25))
				if _, ok := there[key]; ok && r.IntN(3) == 0 {
					delete(there, key)
					rows = append(rows, gone(key, version))
					continue
				}
				there[key] = fmt.Sprint(r.IntN(3))
				rows = append(rows, row(key, fmt.Sprint(there[key], "|", version), version))
			}
			if r.IntN(20) == 0 { // The history is not kept: the whole table is read.
				rows = rows[:0]
				for key, value := range there {
					rows = append(rows, row(key, value+"|", version))
				}
				source.Apply(now, whole(version, rows...))
			} else {
				source.Apply(now, changes(from, version, rows...))
			}
			c := copies[r.IntN(len(copies))]
			d := source.Since(now, c.Head(now).Version)
			d.Told = true
			c.Apply(now, d)
			list, _ := c.Rows()
			n := 0
			for _, row := range list {
				if row.Removed {
					continue
				}
				n++
				if want, ok := there[row.Key]; !ok || !sameBeforeBar("", row.Value, []byte(want)) {
					t.Fatalf("seed %d, step %d: a copy that has just asked has %s as %q, want %q (%v)", seed, step, row.Key, row.Value, want, ok)
				}
			}
			if n != len(there) {
				t.Fatalf("seed %d, step %d: a copy that has just asked has %d rows, want %d", seed, step, n, len(there))
			}
		}
	}
}

// Guards against changes that are never taken into use.
func TestChangedNamesAllThatChanged(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, whole(5, row("a", "1", 3), row("b", "1", 4)))
	if rows, _ := tbl.Changed(); len(rows) != 2 {
		t.Errorf("%d rows changed at first, want 2", len(rows))
	}
	tbl.Apply(start, changes(5, 7, row("a", "1|beat", 6)))
	if rows, _ := tbl.Changed(); len(rows) != 0 {
		t.Errorf("a heartbeat changes %d rows, want none", len(rows))
	}
	tbl.Apply(start, changes(7, 8, gone("b", 8)))
	if rows, _ := tbl.Changed(); len(rows) != 1 || rows[0].Key != "b" || !rows[0].Removed {
		t.Errorf("after a removal %+v changed, want b removed", rows)
	}
	tbl.Apply(start, changes(8, 9, row("c", "1", 9)))
	tbl.Apply(start, changes(9, 10, gone("c", 10)))
	tbl.Apply(start.Add(time.Hour), changes(10, 11))
	if rows, forgotten := tbl.Changed(); len(rows) != 0 || len(forgotten) == 0 {
		t.Errorf("after its removal was forgotten %+v changed and %v are forgotten, want c among these", rows, forgotten)
	}
}
