package balance_test

import (
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// oneTarget returns the Balancer of a VM without others, and its only target.
func oneTarget() (*balance.Balancer, *target.Target) {
	b := balance.New("vm", "north", "north-0")
	b.SetVMs(namedVMs("vm"))
	b.SetSynced()
	u := &target.Target{ID: "only", Born: 1000, Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}
	b.SetTargets([]*target.Target{u})
	return b, u
}

// Guards against an upstream that was found cold by a check and is taken for warm once its registration
// has lapsed and come back.
func TestFoundColdOutlivesALapse(t *testing.T) {
	b, u := oneTarget()
	l := choose(t, b, start, balance.Request{Key: "object"})
	b.MarkCold(l, start.Add(3*time.Second))
	b.SetTargets(nil)
	again := *u
	b.SetTargets([]*target.Target{&again})
	now := start.Add(500 * time.Millisecond)
	if !b.IsCold(now, l) {
		t.Error("the upstream is warm after its registration lapsed and came back")
	}
}

// Guards against two requests of a VM within a second at a cold upstream, one under each incarnation.
func TestColdIntervalOutlivesARegistration(t *testing.T) {
	b, u := oneTarget()
	req := balance.Request{Service: "s", Route: "r", Key: "object", ColdPerSecond: 10}
	l, err := b.Choose(start, req)
	if err != nil {
		t.Fatal(err)
	}
	b.MarkCold(l, start.Add(3*time.Second)) // The process of 2000 has said so.
	if _, err = b.Choose(start.Add(time.Millisecond), req); err != nil {
		t.Fatal(err)
	}
	again := *u
	again.Born, again.ColdUntil = 2000, start.Add(3*time.Second)
	b.SetTargets([]*target.Target{&again})
	if _, err = b.Choose(start.Add(100*time.Millisecond), req); err == nil {
		t.Error("two requests within 100 ms at a cold upstream")
	}
}
