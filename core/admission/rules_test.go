package admission_test

import (
	"testing"
	"time"

	"auburnlatch/core/admission"
)

// Guards against the objective of a route under earlier rules that decides under later ones, for as
// long as the process runs.
func TestObjectiveFollowsTheRules(t *testing.T) {
	for _, tc := range []struct {
		name         string
		first, later time.Duration
		depth        float64
	}{
		{"longer", 400 * time.Millisecond, 2 * time.Second, admission.MaxDepth},
		{"shorter", 2 * time.Second, 400 * time.Millisecond, admission.SharedDepth},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c admission.Controller
			before, after := request(0, tc.first), request(0, tc.later)
			before.Rules, after.Rules = 1, 2
			observe(&c, start, before, 10, 1)
			observe(&c, start, upload, 20, 1)
			observe(&c, start, after, 1, 1)
			observe(&c, start, before, 1, 1) // It was being served as the rules changed.
			if got := c.Decide(start, 0.9, upload).Depth; got != tc.depth {
				t.Errorf("depth %.2f of a request with a longer objective than %v, want %.2f", got, tc.later, tc.depth)
			}
		})
	}
}

// Guards against room that is reserved for a priority which no route has any more, for the longer
// the more requests it had.
func TestRankWithoutRequestsReservesNothing(t *testing.T) {
	var c admission.Controller
	now := start
	observe(&c, now, change, 300, 1)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		observe(&c, now, upload, 3, 1)
	}
	if got := c.Decide(now, 1.5, upload).Depth; got != admission.MaxDepth {
		t.Errorf("depth %.2f ten seconds after the last request of a higher rank, want %.2f", got, admission.MaxDepth)
	}
}

// Guards against a rank that counts as starved after its last request, so that the ranks above it
// have no more room than it had.
func TestRankWithoutRequestsIsNotStarved(t *testing.T) {
	var c admission.Controller
	now := start
	observe(&c, now, upload, 3000, 0.01)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		observe(&c, now, change, 3, 1)
	}
	if got := c.Decide(now, 1.5, change).Depth; got <= admission.SharedDepth {
		t.Errorf("depth %.2f ten seconds after the last request of a starved rank", got)
	}
}
