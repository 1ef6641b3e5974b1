package steer

import "testing"

// Guards against a zone that is taken for unreachable, and whose traffic is moved away, by one
// failure before a pause of this VM and one after it.
func TestPauseIsNoRunOfFailures(t *testing.T) {
	var r Reachability
	r.Record(at(0), "z", false)
	for second := 0.0; second <= 1; second++ { // As steering asks each second.
		r.Unreachable(at(second), "z")
	}
	r.Record(at(20), "z", false) // The VM was paused from second 1 on.
	if r.Unreachable(at(20), "z") {
		t.Error("the zone is unreachable by two failures around a pause")
	}
	r.Record(at(21), "z", false)
	r.Unreachable(at(21), "z")
	r.Record(at(22.5), "z", false)
	if !r.Unreachable(at(22.5), "z") {
		t.Error("the zone is not unreachable after failures since the pause")
	}
}

// Guards against a verdict from before a pause of this VM that keeps callers from a zone.
func TestVerdictFromBeforePauseIsForgotten(t *testing.T) {
	var r Reachability
	for second := range 4 {
		r.Record(at(float64(second)), "z", false)
		r.Unreachable(at(float64(second)), "z")
	}
	if r.Unreachable(at(20), "z") {
		t.Error("the zone is still unreachable after a pause of 17 s")
	}
}
