package platform

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/claim"
	standin "auburnlatch/standin/platform"
)

var start = time.Unix(1_700_000_000, 0)

func newClaims(t *testing.T) *Claims {
	t.Helper()
	srv := httptest.NewServer(standin.New())
	t.Cleanup(srv.Close)
	return NewClaims(New(srv.URL))
}

func put(t *testing.T, c *Claims, key claim.Key, row claim.Row) {
	t.Helper()
	if r := c.Write(context.Background(), key, claim.Action{Row: row}); r.Outcome != claim.Applied {
		t.Fatalf("row %v: outcome %v", key, r.Outcome)
	}
}

func keyOf(name string) claim.Key { return claim.Key{Service: "s", Caller: "c", Idempotency: name} }

// If a row is deleted while a write of a claim for it is still in flight, that
// claim succeeds although the operation has already run. Sweep may delete only
// rows that are settled and old enough, and must keep unsettled ones.
func TestSweepDeletesOnlySettledOldClaims(t *testing.T) {
	c := newClaims(t)
	long, lately := start.Add(-claim.Retention-time.Hour), start.Add(-time.Hour)
	rows := []struct {
		name  string
		state claim.State
		at    time.Time
		stays bool
	}{
		{"done-long-ago", claim.Done, long, false},
		{"tombstone-long-ago", claim.Tombstone, long, false},
		{"claimed-long-ago", claim.Claimed, long, true},
		{"done-lately", claim.Done, lately, true},
	}
	for _, r := range rows {
		put(t, c, keyOf(r.name), claim.Row{Attempt: r.name, State: r.state, Written: r.at})
	}
	if n, err := c.Sweep(context.Background(), start); n != 2 || err != nil {
		t.Errorf("Sweep = %d, %v, want 2", n, err)
	}
	for _, r := range rows {
		row, err := c.table.Get(context.Background(), rowKey(keyOf(r.name)))
		if err != nil || (row.Version != 0) != r.stays {
			t.Errorf("%s: version %d (%v), want it kept: %t", r.name, row.Version, err, r.stays)
		}
	}
}

func TestResolve(t *testing.T) {
	deadline := start.Add(time.Minute)
	late := deadline.Add(claim.MaxWriteDelay + time.Second)
	for _, tc := range []struct {
		name  string
		state claim.State
		now   time.Time
		ran   bool
		want  claim.State
		err   string
	}{
		{"too early: the holder may still dispatch", claim.Claimed, deadline, false, claim.Claimed, "10m0s after its deadline"},
		{"ran", claim.Claimed, late, true, claim.Done, ""},
		{"did not run", claim.Claimed, late, false, claim.Tombstone, ""},
		{"settled already", claim.Done, late, false, claim.Done, "state Done"},
	} {
		c := newClaims(t)
		put(t, c, keyOf("k"), claim.Row{Attempt: "a", State: tc.state, Deadline: deadline})
		err := c.Resolve(context.Background(), tc.now, keyOf("k"), tc.ran)
		if (tc.err == "") != (err == nil) || (err != nil && (!errors.Is(err, ErrNotResolvable) || !strings.Contains(err.Error(), tc.err))) {
			t.Errorf("%s: err = %v, want %q", tc.name, err, tc.err)
		}
		row, err := c.table.Get(context.Background(), rowKey(keyOf("k")))
		if err != nil {
			t.Fatal(err)
		}
		l, err := decodeClaim(row)
		if err != nil || l.Row.State != tc.want || l.Key != keyOf("k") {
			t.Errorf("%s: row %+v (%v), want state %v", tc.name, l, err, tc.want)
		}
	}
}

// Two claims whose caller names and keys are equal when joined must have different
// rows.
func TestRowKeysAreUnambiguous(t *testing.T) {
	keys := []claim.Key{{Service: "s", Caller: "a/b", Idempotency: "c"}, {Service: "s", Caller: "a", Idempotency: "b/c"}}
	if rowKey(keys[0]) == rowKey(keys[1]) {
		t.Errorf("two keys share the row %q", rowKey(keys[0]))
	}
	for _, key := range keys {
		if got, err := parseRowKey(rowKey(key)); got != key || err != nil {
			t.Errorf("parseRowKey = %v, %v, want %v", got, err, key)
		}
	}
}
