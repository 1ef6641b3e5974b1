package replica_test

import (
	"testing"
	"time"

	"auburnlatch/core/lease"
	"auburnlatch/core/replica"
)

// in returns a delta of an era.
func in(era uint64, d replica.Delta) replica.Delta {
	d.To.Era = era
	return d
}

// The platform's store comes back from an older copy and gives out versions again. A replica
// must follow the new history, from whichever VM it comes, and take nothing of the lost one.
func TestReplicaFollowsRestoredStore(t *testing.T) {
	first := in(1, whole(9, row("a", "1", 3), row("b", "1", 8)))
	for _, tc := range []struct {
		name   string
		deltas []replica.Delta
		want   string
	}{
		{"lower versions", []replica.Delta{first, in(2, whole(5, row("a", "2", 5)))}, "a=2"},
		{"versions past the lost ones", []replica.Delta{first, in(2, changes(9, 12, row("c", "1", 11))), in(2, whole(12, row("a", "2", 6), row("c", "1", 11)))}, "a=2 c=1"},
		{"a late answer of the lost history", []replica.Delta{first, in(2, whole(5, row("a", "2", 5))), in(1, changes(5, 20, row("a", "3", 20)))}, "a=2"},
		{"a whole table of the lost history", []replica.Delta{first, in(2, whole(5, row("a", "2", 5))), in(1, whole(20, row("a", "3", 20)))}, "a=2"},
		{"changes after it", []replica.Delta{first, in(2, whole(5, row("a", "2", 5))), in(2, changes(5, 6, row("b", "2", 6)))}, "a=2 b=2"},
		{"twice in a row", []replica.Delta{first, in(2, whole(5, row("a", "2", 5))), in(3, whole(4, row("a", "1", 3)))}, "a=1"},
		{"a row with the lost row's version", []replica.Delta{first, in(2, whole(8, row("a", "1", 3), row("b", "2", 8)))}, "a=1 b=2"},
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

// A VM that learns of the restore from a peer must pass the new history on in full, although
// its versions are below those that the others have.
func TestRestoredReplicaIsPassedOn(t *testing.T) {
	a, b := replica.NewTable("t", sameBeforeBar), replica.NewTable("t", sameBeforeBar)
	a.Apply(start, in(1, whole(9, row("a", "1", 3), row("b", "1", 8))))
	b.Apply(start, in(2, whole(5, row("a", "1", 3))))
	b.Apply(start, in(2, changes(5, 6, row("c", "1", 6))))
	if !a.Apply(start, b.Whole(start)) || live(a) != "a=1 c=1" {
		t.Errorf("got %q, want a=1 c=1", live(a))
	}
	b.Apply(start, in(2, changes(6, 7, gone("c", 7))))
	if a.Apply(start, b.Since(start, 6)); live(a) != "a=1" {
		t.Errorf("after a change of the new era: got %q, want a=1", live(a))
	}
}

// What a VM knew from lost changes is probably still true, and is written again soon: a row
// that the copy lacks may have lapsed only, and one that had been removed may only be in the
// older copy.
func TestLostChangesAreMarked(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, in(1, whole(5, row("same", "1", 3), row("removed", "1", 4), row("changed", "1", 5))))
	tbl.Apply(start, in(1, changes(5, 9, gone("removed", 7), row("new", "1", 8), row("changed", "2", 9))))
	at := start.Add(time.Second)
	tbl.Apply(at, in(2, whole(5, row("same", "1", 3), row("removed", "1", 4), row("changed", "1", 5))))
	rows := make(map[string]replica.Row)
	all, _ := tbl.Rows()
	for _, r := range all {
		rows[r.Key] = r
	}
	if r := rows["same"]; !r.RestoredAt.IsZero() || !r.At.Equal(start) {
		t.Errorf("a row that is the same: %+v", r)
	}
	if r := rows["removed"]; r.Removed || !r.RestoredAt.Equal(at) || !r.WasRemoved {
		t.Errorf("a row that had been removed: %+v", r)
	}
	if r := rows["changed"]; !r.RestoredAt.Equal(at) || r.WasRemoved {
		t.Errorf("a row that had changed: %+v", r)
	}
	if r := rows["new"]; !r.Removed || !r.AfterGap || !r.RestoredAt.Equal(at) {
		t.Errorf("a row that the copy lacks: %+v", r)
	}
	tbl.Apply(at.Add(time.Second), in(3, whole(5, row("same", "1", 3), row("removed", "1", 4), row("changed", "1", 5))))
	all, _ = tbl.Rows()
	for _, r := range all {
		if was := rows[r.Key].RestoredAt; !r.RestoredAt.Equal(was) {
			t.Errorf("%s: RestoredAt = %v after another restore to the same state, was %v", r.Key, r.RestoredAt, was)
		}
	}
	tbl.Apply(at, in(3, changes(5, 6, row("removed", "1", 6))))
	all, _ = tbl.Rows()
	for _, r := range all {
		if r.Key == "removed" && !r.RestoredAt.IsZero() {
			t.Error("a row that was written again is still marked as restored")
		}
	}
}

// A zone's evacuation is lost with a restore, or one that had ended is there again. Neither
// must send requests to and fro before operators have written their orders again.
func TestSettled(t *testing.T) {
	const hold = 3 * time.Second
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, in(1, whole(5, row("ended", "1", 4))))
	tbl.Apply(start, in(1, changes(5, 9, gone("ended", 8), row("begun", "1", 9))))
	tbl.Apply(start, in(2, whole(5, row("ended", "1", 4))))
	for _, tc := range []struct {
		after   time.Duration
		want    string
		pending bool
	}{{0, "begun", true}, {hold - 1, "begun", true}, {hold, "ended", false}} {
		all, _ := tbl.Rows()
		rows, pending := replica.Settled(start.Add(tc.after), all, hold)
		got := ""
		for _, r := range rows {
			if !r.Removed {
				got += r.Key
			}
		}
		if got != tc.want || pending != tc.pending {
			t.Errorf("after %v: %q, pending %v, want %q, %v", tc.after, got, pending, tc.want, tc.pending)
		}
	}
}

// A VM admits keys by rules that are verified to be the newest. A head of another era verifies
// nothing: after a restore a replica with higher versions would count as complete, and a key
// that was revoked since would be admitted forever.
func TestHeadOfAnotherEraDoesNotVerify(t *testing.T) {
	tbl := replica.NewTable("t", sameBeforeBar)
	tbl.Apply(start, in(2, whole(9)))
	for _, h := range []replica.Head{{Version: 9, Era: 1}, {Version: 5, Era: 3}, {Version: 10, Era: 2}} {
		tbl.Renew(h, lease.Moment(time.Minute))
		if asOf, _ := tbl.VerifiedAsOf(); asOf != 0 {
			t.Fatalf("verified by version %d of era %d", h.Version, h.Era)
		}
	}
	tbl.Renew(replica.Head{Version: 9, Era: 2}, lease.Moment(time.Minute))
	if asOf, _ := tbl.VerifiedAsOf(); asOf == 0 {
		t.Error("not verified by its own head")
	}
}

// The restored store has an older configuration than some VM had in force. A VM that has
// started since must learn that, unless its replica may still get the newer one.
func TestLostContentIsObserved(t *testing.T) {
	for _, tc := range []struct {
		name  string
		other replica.Head
		want  uint64
	}{
		{"as complete", replica.Head{Version: 5, Era: 2, Content: 25}, 25},
		{"less complete", replica.Head{Version: 4, Era: 2, Content: 25}, 25},
		{"more complete", replica.Head{Version: 6, Era: 2, Content: 25}, 0},
		{"of an earlier era", replica.Head{Version: 9, Era: 1, Content: 25}, 25},
		{"of a later era", replica.Head{Version: 4, Era: 3, Content: 25}, 0},
	} {
		tbl := replica.NewTable("t", sameBeforeBar)
		tbl.Apply(start, in(2, whole(5)))
		tbl.ObserveContent(tc.other)
		if got, _ := tbl.LostContent(); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}
