package dispatch

import "testing"

// Guards against a VM that has just started and sends its full share to an upstream of which
// nobody has said that it is warm.
func TestUnknownUpstreamWarmsUp(t *testing.T) {
	p := NewPool("a")
	p.Tick(at(0.5), alone(1, four))
	p.Tick(at(1), alone(2, four))
	if got := len(offers(p, at(1))); got != 1 {
		t.Errorf("%d slots before any probe, want 1", got)
	}
	p.ReportHealth(at(1.1), "t4", Up)
	if got := len(offers(p, at(1.1))); got != 3 {
		t.Errorf("%d more slots once a probe has said Up, want 3", got)
	}
}

// Guards against an upstream that nobody can probe and that is never sent its full share.
func TestUnknownUpstreamIsWarmAfterWarmUp(t *testing.T) {
	p := NewPool("a")
	p.Tick(at(0.5), alone(1, four))
	end := 0.5 + WarmUp.Seconds()
	p.Tick(at(end), alone(2, four))
	if got := len(offers(p, at(end))); got != 4 {
		t.Errorf("%d slots after the warm-up, want 4", got)
	}
}

// Guards against reports of no peer that count for the word of a probe.
func TestSilenceConfirmsNothing(t *testing.T) {
	p := NewPool("a")
	p.Tick(at(0.5), alone(1, four))
	p.Tick(at(1), alone(2, four))
	p.ReportHealth(at(1), "t4", Unknown)
	if got := len(offers(p, at(1))); got != 1 {
		t.Errorf("%d slots, want 1", got)
	}
}
