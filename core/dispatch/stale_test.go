package dispatch

import (
	"testing"

	"auburnlatch/core/verdict"
)

// Guards against a VM that has just started and sends its full share to an upstream of which
// nobody has said that it is warm.
func TestUnknownUpstreamWarmsUp(t *testing.T) {
	p := NewPool("a")
	p.Tick(at(0.5), alone(1, four))
	p.Tick(at(1), alone(2, four))
	if got := len(offers(p, at(1))); got != 1 {
		t.Errorf("%d slots before any probe, want 1", got)
	}
	p.ReportHealth(at(1.1), at(1.1), "t4", Up)
	if got := len(offers(p, at(1.1))); got != 3 {
		t.Errorf("%d more slots once a probe has said Up, want 3", got)
	}
}

// Guards against an upstream that nobody can probe and that is never sent its full share.
func TestUnknownUpstreamIsWarmAfterWarmUp(t *testing.T) {
	p := NewPool("a")
	end := 0.5 + WarmUp.Seconds()
	for i, now := uint64(1), 0.5; now <= end; i, now = i+1, now+0.5 {
		p.Tick(at(now), alone(i, four))
	}
	if got := len(offers(p, at(end))); got != 4 {
		t.Errorf("%d slots after the warm-up, want 4", got)
	}
}

// Guards against reports of no peer that count for the word of a probe.
func TestSilenceConfirmsNothing(t *testing.T) {
	p := NewPool("a")
	p.Tick(at(0.5), alone(1, four))
	p.Tick(at(1), alone(2, four))
	p.ReportHealth(at(1), at(1), "t4", Unknown)
	if got := len(offers(p, at(1))); got != 1 {
		t.Errorf("%d slots, want 1", got)
	}
}

// broken is the outcome of a request whose connection to the upstream broke.
var broken = Sample{Err: verdict.New(verdict.MaybeRan, verdict.ReasonBroken, 0)}

// Guards against an upstream that ends and is back before a third request fails or a probe is due,
// and that gets its full share though it has just started.
func TestBrokenConnectionMakesHealthUnknown(t *testing.T) {
	refused := Sample{Err: verdict.New(verdict.NotRun, verdict.ReasonUnreachable, 0)}
	for name, sample := range map[string]Sample{"broken": broken, "refused": refused} {
		p := newPool(four)
		if _, ok := p.Offer(at(1.1), "istoric"); !ok {
			t.Fatal("Offer found no free slot")
		}
		p.Done(at(1.2), "t4", sample)
		if got := len(offers(p, at(1.2))); got != 1 {
			t.Errorf("%s: %d slots, want 1", name, got)
		}
		p.ReportHealth(at(1.3), at(1.1), "t4", Up)
		if got := len(offers(p, at(1.3))); got != 0 {
			t.Errorf("%s: %d more slots by a probe from before, want 0", name, got)
		}
		p.ReportHealth(at(1.4), at(1.3), "t4", Up)
		if got := len(offers(p, at(1.4))); got != 3 {
			t.Errorf("%s: %d more slots once a probe has said Up, want 3", name, got)
		}
	}
}

// Guards against an upstream that breaks each connection and is never Down, because its probes
// succeed in between.
func TestUpstreamThatBreaksConnectionsIsDown(t *testing.T) {
	p := newPool(four, three)
	for i := range maxFailures {
		now := at(1.1 + float64(i)/10)
		p.allocations["t4"].inUse++
		p.Done(now, "t4", broken)
		p.ReportHealth(now.Add(1), now.Add(1), "t4", Up)
	}
	if got := p.allocations["t4"].state; got != Down {
		t.Errorf("the upstream is %v after %d broken connections in a row", got, maxFailures)
	}
}

// Guards against callers who go away or are too late, or an upstream that sheds, for which an
// upstream would lose its share.
func TestOtherFailuresSayNothingOfAStart(t *testing.T) {
	for _, sample := range []Sample{
		{Err: verdict.New(verdict.MaybeRan, verdict.ReasonCanceled, 0)},
		{Err: verdict.New(verdict.MaybeRan, verdict.ReasonDeadline, 0)},
		{Err: verdict.New(verdict.NotRun, verdict.ReasonShed, 0), Shed: true},
	} {
		p := newPool(four)
		p.Offer(at(1.1), "istoric")
		p.Done(at(1.2), "t4", sample)
		if got := len(offers(p, at(1.2))); got != 4 {
			t.Errorf("%v: %d slots, want 4", sample.Err, got)
		}
	}
}

// Guards against an upstream that has left and started again between two probes, and that gets its
// full share though it has just started.
func TestUpstreamThatHasLeftStartsCold(t *testing.T) {
	p := newPool(four)
	p.ReportHealth(at(1.1), at(1.1), "t4", Leaving)
	p.ReportHealth(at(2), at(2), "t4", Up)
	if got := len(offers(p, at(2))); got != 1 {
		t.Errorf("%d slots, want 1", got)
	}
}

// Guards against an upstream that is leaving and gets requests again, because the peers who have
// reported it are not heard from any more.
func TestLeavingOutlivesItsReporters(t *testing.T) {
	p := newPool(four)
	p.ReportHealth(at(1.1), at(1.1), "t4", Leaving)
	p.ReportHealth(at(2), at(2), "t4", Unknown)
	if got := len(offers(p, at(2))); got != 0 {
		t.Errorf("%d slots, want 0", got)
	}
	if list := p.Unconfirmed(); len(list) != 1 {
		t.Errorf("%d upstreams to be probed, want the one that was leaving", len(list))
	}
	p.ReportHealth(at(3), at(3), "t4", Up)
	if got := len(offers(p, at(3))); got != 1 {
		t.Errorf("%d slots once it is back, want 1", got)
	}
}

// Guards against a VM that was suspended and takes what it knew of upstreams for current.
func TestSuspendedVMDoubtsAllUpstreams(t *testing.T) {
	p := newPool(four)
	wake := 1 + FenceAfter.Seconds() + 1
	p.Tick(at(wake), alone(3, four))
	if got := len(offers(p, at(wake))); got != 1 {
		t.Errorf("%d slots, want 1", got)
	}
	p.ReportHealth(at(wake+0.1), at(1), "t4", Up) // The response was waiting in a buffer.
	if got := len(offers(p, at(wake+0.1))); got != 0 {
		t.Errorf("%d more slots by a probe from before, want 0", got)
	}
}

// Guards against upstreams that started again while the VM's own links were cut, and that get
// their full share when the links are back.
func TestRegainedLinksLeaveUpstreamsUnknown(t *testing.T) {
	p := newPool(four, three)
	for range maxFailures {
		p.allocations["t4"].inUse++
		p.Done(at(1.1), "t4", broken)
	}
	p.ForgetFailures(at(2))
	if got := len(offers(p, at(2))); got != 2 {
		t.Errorf("%d slots, want 1 of each of two upstreams", got)
	}
	p.ReportHealth(at(2.1), at(2.1), "t4", Up)
	p.ReportHealth(at(2.1), at(2.1), "t3", Up)
	if got := len(offers(p, at(2.1))); got != 5 {
		t.Errorf("%d more slots once probes have said Up, want 5: the fault was the links'", got)
	}
}
