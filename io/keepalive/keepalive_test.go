package keepalive

import (
	"testing"
	"time"
)

// The steps of a connection's state, and whether its read is made to time out and its deadline
// restored.
func TestState(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Minute)
	for _, tc := range []struct {
		name  string
		steps func(s *State) []bool
		want  []bool
	}{
		{"waiting", func(s *State) []bool { return []bool{s.Waits(), s.Close(), s.Close()} }, []bool{true, true, false}},
		{"closed before it waits", func(s *State) []bool { return []bool{s.Close(), s.Waits(), s.Returned(true)} }, []bool{false, false, true}},
		{"handed a request meanwhile", func(s *State) []bool { return []bool{s.Waits(), s.Close(), s.Returned(true), s.Waits()} }, []bool{true, true, true, true}},
		{"handed a request before", func(s *State) []bool { return []bool{s.Waits(), s.Returned(true), s.Close(), s.EndOlder(later, 0)} }, []bool{true, false, false, false}},
		{"old", func(s *State) []bool {
			return []bool{s.Waits(), s.EndOlder(later, time.Minute-1), s.EndOlder(later, 0)}
		}, []bool{true, true, false}},
		{"young", func(s *State) []bool { return []bool{s.Waits(), s.EndOlder(later, time.Minute)} }, []bool{true, false}},
		{"not waiting yet", func(s *State) []bool { return []bool{s.EndOlder(later, 0)} }, []bool{false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s State
			s.Idle(now)
			got := tc.steps(&s)
			for i := range tc.want {
				if got[i] != tc.want[i] {
					t.Errorf("step %d: %v, want %v", i, got[i], tc.want[i])
				}
			}
		})
	}
}
