package admission_test

import (
	"testing"
	"time"

	"auburnlatch/core/admission"
)

// Guards against the objective of a route under earlier rules that decides under later ones.
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

// Guards against a rank that counts after its last request for the longer the more requests it had.
func TestRankWithoutRequestsIsForgotten(t *testing.T) {
	for _, tc := range []struct {
		name         string
		before       admission.Request
		n            int
		sent         float64
		after        admission.Request
		least, above float64 // The depth of after is at least least, and above above.
	}{
		{"room is reserved for it", change, 300, 1, upload, admission.MaxDepth, 0},
		{"it was starved", upload, 3000, 0.01, change, 0, admission.SharedDepth},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c admission.Controller
			now := start
			observe(&c, now, tc.before, tc.n, tc.sent)
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				observe(&c, now, tc.after, 3, 1)
			}
			if got := c.Decide(now, 1.5, tc.after).Depth; got < tc.least || got <= tc.above {
				t.Errorf("depth %.2f ten seconds after the last request of another rank", got)
			}
		})
	}
}
