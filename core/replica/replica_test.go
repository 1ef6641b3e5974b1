package replica_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/replica"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// sameBeforeBar reports whether two values are the same up to a bar.
func sameBeforeBar(_ string, a, b []byte) bool {
	x, _, _ := strings.Cut(string(a), "|")
	y, _, _ := strings.Cut(string(b), "|")
	return x == y
}

func row(key, value string, version uint64) replica.Row {
	return replica.Row{Key: key, Value: []byte(value), Version: version}
}

func gone(key string, version uint64) replica.Row {
	return replica.Row{Key: key, Version: version, Removed: true}
}

func changes(from, to uint64, rows ...replica.Row) replica.Delta {
	return replica.Delta{From: from, To: replica.Head{Version: to}, Rows: rows}
}

func whole(to uint64, rows ...replica.Row) replica.Delta {
	return replica.Delta{To: replica.Head{Version: to}, Whole: true, Rows: rows}
}

func live(t *replica.Table) string {
	rows, _ := t.Rows()
	var keys []string
	for _, r := range rows {
		if !r.Removed {
			keys = append(keys, r.Key+"="+string(r.Value))
		}
	}
	return strings.Join(keys, " ")
}

// Deltas arrive from the platform and from peers late, twice and out of order. One
// that begins after the replica's version would skip the changes in between; one that
// ends before it would bring back removed rows.
func TestApplyInAnyOrder(t *testing.T) {
	for _, tc := range []struct {
		name   string
		deltas []replica.Delta
		want   string
	}{
		{"in order", []replica.Delta{whole(5, row("a", "1", 3)), changes(5, 7, row("b", "1", 6))}, "a=1 b=1"},
		{"twice", []replica.Delta{whole(5, row("a", "1", 3)), changes(5, 7, row("a", "2", 6)), changes(5, 7, row("a", "2", 6))}, "a=2"},
		{"a gap", []replica.Delta{whole(5, row("a", "1", 3)), changes(6, 9, row("b", "1", 8))}, "a=1"},
		{"late", []replica.Delta{whole(9, row("a", "2", 8)), changes(0, 5, row("a", "1", 3))}, "a=2"},
		{"removed, then late", []replica.Delta{whole(5, row("a", "1", 3)), changes(5, 9, gone("a", 8)), changes(5, 9, row("a", "1", 3))}, ""},
		{"added again with the same key", []replica.Delta{whole(5, row("a", "1", 3)), changes(5, 8, gone("a", 7)), changes(8, 9, row("a", "2", 9))}, "a=2"},
		{"whole without a row", []replica.Delta{whole(5, row("a", "1", 3), row("b", "1", 4)), whole(9, row("b", "1", 4))}, "b=1"},
		{"a stale whole read", []replica.Delta{whole(9, row("a", "2", 8)), whole(5, row("a", "1", 3), row("b", "1", 4))}, "a=2"},
	} {
		tbl := replica.NewTable("t", sameBeforeBar)
		for _, d := range tc.deltas {
			tbl.Apply(start, d)
		}
		if got := live(tbl); got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
}

// A VM that the platform refuses receives a removal from a peer, and a third VM from
// that one. The removal must propagate to the third VM, or that one keeps sending to an
// upstream that has left.
func TestRemovalPropagates(t *testing.T) {
	a, b, c := replica.NewTable("t", sameBeforeBar), replica.NewTable("t", sameBeforeBar), replica.NewTable("t", sameBeforeBar)
	for _, tbl := range []*replica.Table{a, b, c} {
		tbl.Apply(start, whole(5, row("x", "1", 3)))
	}
	a.Apply(start, changes(5, 8, gone("x", 7)))
	b.Apply(start, a.Since(start, b.Head(start).Version))
	c.Apply(start, b.Since(start, c.Head(start).Version))
	if got := live(c); got != "" {
		t.Errorf("the third VM has %q, want no rows", got)
	}
}

// Each heartbeat of an upstream writes its row. If each were propagated to 80 VMs, that
// alone would be most of the traffic between zones.
func TestHeartbeatsAreNotPropagated(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, whole(5, row("a", "ready|1", 3)))
	if tbl.Apply(start, changes(5, 8, row("a", "ready|2", 8))) {
		t.Error("a heartbeat counts as a change")
	}
	if d := tbl.Since(start, 5); len(d.Rows) != 0 || d.To.Version != 8 {
		t.Errorf("the delta for a VM at 5 has %d rows up to %d, want none up to 8", len(d.Rows), d.To.Version)
	}
	if !tbl.Apply(start, changes(8, 9, row("a", "draining|3", 9))) {
		t.Error("a change of state does not count as a change")
	}
}

// The platform is unavailable for five seconds and all registrations lapse. Rows
// removed right after must be distinguishable from upstreams that have left.
func TestRemovalAfterGap(t *testing.T) {
	for _, tc := range []struct {
		gap  time.Duration
		want bool
	}{{time.Second, false}, {5 * time.Second, true}} {
		tbl := replica.NewTable("t", sameBeforeBar)
		tbl.Apply(start, whole(5, row("a", "1", 3)))
		now := start.Add(tc.gap)
		tbl.Apply(now, changes(5, 8, gone("a", 7)))
		rows, _ := tbl.Rows()
		if got := rows[0].AfterGap; got != tc.want {
			t.Errorf("gap %v: AfterGap = %v, want %v", tc.gap, got, tc.want)
		}
		if !bytes.Equal(rows[0].Value, []byte("1")) {
			t.Errorf("gap %v: the removed row's value is lost", tc.gap)
		}
	}
}

// A VM was partitioned for so long that tombstones have expired. An incremental delta
// would omit those removals, so it gets a whole one.
func TestLongPartitionedVMGetsWholeDelta(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, whole(5, row("a", "1", 3), row("b", "1", 4)))
	tbl.Apply(start, changes(5, 8, gone("a", 7)))
	later := start.Add(time.Hour)
	tbl.Apply(later, changes(8, 9))
	if d := tbl.Since(later, 5); !d.Whole {
		t.Error("the delta for a VM from before the removal is not whole")
	}
	if d := tbl.Since(later, 8); d.Whole {
		t.Error("the delta for a VM from after the removal is whole")
	}
}

func TestAge(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	if got := tbl.Head(start).Age; got != replica.NeverConfirmed {
		t.Errorf("age of an empty replica = %v, want NeverConfirmed", got)
	}
	d := whole(5)
	d.To.Age = time.Second // As received from a peer.
	tbl.Apply(start, d)
	if got := tbl.Head(start.Add(time.Second)).Age; got != 2*time.Second {
		t.Errorf("age = %v, want 2s", got)
	}
}

// In a rolling restart, a VM that has just started reads the whole table and its peers
// then read from it. It has no tombstones of rows removed earlier. If it sent an
// incremental delta, the peers would take their replicas for complete and keep sending to
// upstreams that are gone.
func TestNewReplicaServesWholeDelta(t *testing.T) {
	old, fresh := replica.NewTable("t", sameBeforeBar), replica.NewTable("t", sameBeforeBar)
	old.Apply(start, whole(5, row("a", "1", 3), row("b", "1", 4)))
	fresh.Apply(start, whole(9, row("b", "1", 4)))
	old.Apply(start, fresh.Since(start, old.Head(start).Version))
	if got := live(old); got != "b=1" {
		t.Errorf("after a delta of the VM that has just started: %q, want b=1", got)
	}
	fresh.Apply(start, changes(9, 11, gone("b", 10)))
	if d := fresh.Since(start, 9); d.Whole {
		t.Error("the delta for a VM from after the whole read is whole")
	}
}

// An upstream leaves while one VM's link is congested and its replica is not confirmed
// for three seconds. The VM then receives the removal from a peer that had read the
// platform all the time. By the VM's own gap, the upstream might only have lapsed and
// would be used for another 1.8 s: a request reached an upstream 3.3 s after it had
// announced that it leaves.
func TestRemovalFromPeerKeepsItsAfterGap(t *testing.T) {
	table := func() *replica.Table {
		return replica.NewTable("targets", func(string, []byte, []byte) bool { return false })
	}
	there := replica.Delta{To: replica.Head{Table: "targets", Version: 1}, Rows: []replica.Row{{Key: "t", Version: 1, Value: []byte("x")}}}
	gone := replica.Delta{From: 1, To: replica.Head{Table: "targets", Version: 2}, Rows: []replica.Row{{Key: "t", Version: 2, Removed: true}}}
	late := start.Add(replica.LapseGap + time.Second)
	for _, tc := range []struct {
		name  string
		delta func() replica.Delta
		want  bool
	}{
		{"read after a gap", func() replica.Delta { return gone }, true},
		{"from a peer that was never behind", func() replica.Delta {
			other := table()
			other.Apply(start, there)
			other.Apply(start.Add(time.Second), gone)
			d := other.Since(late, 1)
			d.FromPeer = true
			return d
		}, false},
		{"from a peer that was behind too", func() replica.Delta {
			other := table()
			other.Apply(start, there)
			other.Apply(late, gone)
			d := other.Since(late, 1)
			d.FromPeer = true
			return d
		}, true},
	} {
		own := table()
		own.Apply(start, there)
		own.Apply(late, tc.delta())
		rows, _ := own.Rows()
		if len(rows) != 1 || !rows[0].Removed || rows[0].AfterGap != tc.want {
			t.Errorf("%s: got %+v, want it removed with AfterGap %v", tc.name, rows, tc.want)
		}
	}
}
