package claim_test

import (
	"testing"
	"time"

	"auburnlatch/core/claim"
)

// A restored table has lost rows. Until all VMs have written theirs again, an operation whose
// row is lost must not be claimed anew, also not by a VM that has started since.
func TestNothingIsClaimedRightAfterRestore(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		name string
		eras []uint64 // As observed, a second apart.
		at   time.Duration
		want bool
	}{
		{"never restored", []uint64{0, 0}, time.Second, false},
		{"restored", []uint64{0, 1}, 2 * time.Second, true},
		{"some time after", []uint64{0, 1}, 7 * time.Second, false},
		{"a late answer of an earlier era", []uint64{0, 1, 0}, 7 * time.Second, false},
		{"restored twice", []uint64{0, 1, 2}, 6 * time.Second, true},
		{"started after a restore", []uint64{3}, time.Second, true},
	} {
		var m claim.Memory
		for i, era := range tc.eras {
			m.Observe(start.Add(time.Duration(i)*time.Second), era)
		}
		if got := m.Holds(start.Add(tc.at)); got != tc.want {
			t.Errorf("%s: holds = %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Rows are written again if they were written in an earlier era, as they were last.
func TestMemoryReturnsLostRows(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	key := func(k string) claim.Key { return claim.Key{Idempotency: k} }
	var m claim.Memory
	m.Observe(start, 0)
	m.Remember(start, claim.Written{Key: key("old"), Row: claim.Row{State: claim.Done}})
	now := start.Add(time.Minute)
	m.Remember(now, claim.Written{Key: key("a"), Row: claim.Row{State: claim.Claimed}})
	m.Remember(now, claim.Written{Key: key("a"), Row: claim.Row{State: claim.Done, Answer: &claim.Answer{Body: make([]byte, 1<<20)}}})
	if lost := m.Lost(now); len(lost) != 0 {
		t.Errorf("%d rows are lost without a restore", len(lost))
	}
	m.Observe(now, 1)
	m.Remember(now, claim.Written{Key: key("b"), Row: claim.Row{State: claim.Done}, Era: 1})
	lost := m.Lost(now)
	if len(lost) != 1 || lost[0].Key != key("a") || lost[0].Row.State != claim.Done || !lost[0].Row.Answer.TooLarge {
		t.Errorf("lost rows: %+v, want that of a, done, without its long answer", lost)
	}
}

// A claim that takes effect in a table that has just been restored may be the second one of its
// operation. It must be released and refused as not run.
func TestDoubtfulClaimIsReleased(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	a := claim.New(claim.Key{}, "id", "digest", claim.Holder{}, now.Add(time.Minute))
	a.Start(now)
	act := a.Written(now, claim.Result{Outcome: claim.Doubtful, Version: 7})
	if act.Kind != claim.Write || act.Row.State != claim.Tombstone || act.If != 7 || act.Err == nil {
		t.Errorf("got %+v, want a tombstone on version 7 and a refusal", act)
	}
}
