package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
	"auburnlatch/core/verdict"
)

func newWithOneTarget(vm string) *balance.Balancer {
	b := balance.New(vm, "north", "north-0")
	b.SetVMs(namedVMs(vm))
	b.SetTargets([]*target.Target{{ID: "only", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}})
	return b
}

// trySend reports whether a request is assigned at a time. The request ends without being sent.
func trySend(b *balance.Balancer, ms int) bool {
	l, err := b.Choose(at(ms), balance.Request{Service: "s", Urgent: true, Idempotent: true})
	if err != nil {
		return false
	}
	b.Done(at(ms), l, balance.Outcome{NotSent: true})
	return true
}

// Guards against requests during a pause that an upstream asked for, and against a burst after
// it.
func TestPause(t *testing.T) {
	b := newWithOneTarget("vm")
	early, first := mustChoose(t, b, 0), mustChoose(t, b, 0)
	b.Heard(at(100), first, balance.Notice{RetryAfter: 2 * time.Second})
	b.Heard(at(200), first, balance.Notice{RetryAfter: time.Second}) // Ends sooner.
	b.Heard(at(300), early, balance.Notice{})                        // To a request sent before the pause.
	for ms := 300; ms < 2100; ms += 50 {
		if trySend(b, ms) {
			t.Fatalf("request sent after %d ms, during the pause", ms)
		}
	}
	if b.Admit(at(1000), early) {
		t.Error("request that was assigned before the pause is admitted during it")
	}
	_, err := b.Choose(at(1100), balance.Request{Service: "s", Urgent: true})
	if after := verdict.As(err).RetryAfter; after < time.Second || after > 1600*time.Millisecond {
		t.Errorf("got RetryAfter %v, want the end of the pause", after)
	}
	if !trySend(b, 2700) {
		t.Error("no request is sent after the pause")
	}
	if trySend(b, 2750) {
		t.Error("second request sent before the response to the first")
	}
	probe := mustChoose(t, b, 3000)
	b.Heard(at(3050), probe, balance.Notice{})
	if !trySend(b, 3060) || !trySend(b, 3061) {
		t.Error("response does not end the pause")
	}
}

// Guards against many VMs that resume sending at the same moment after a pause.
func TestVMsResumeWithJitterAfterPause(t *testing.T) {
	const vms = 40
	var back []time.Duration
	for i := range vms {
		b := newWithOneTarget(fmt.Sprint("vm", i))
		b.Heard(at(0), mustChoose(t, b, 0), balance.Notice{RetryAfter: 3 * time.Second})
		for ms := 3000; ms < 5000; ms++ {
			if trySend(b, ms) {
				back = append(back, time.Duration(ms)*time.Millisecond)
				break
			}
		}
	}
	if len(back) != vms {
		t.Fatalf("%d of %d VMs resumed", len(back), vms)
	}
	slices.Sort(back)
	if n := maxInWindow(back, 250*time.Millisecond); n > vms/2 {
		t.Errorf("%d of %d VMs resumed within 250 ms, want at most half", n, vms)
	}
}

// Guards against a pause that is missed because the caller left before the response arrived.
func TestUnansweredProbeExtendsPause(t *testing.T) {
	b := newWithOneTarget("vm")
	b.Heard(at(0), mustChoose(t, b, 0), balance.Notice{RetryAfter: time.Second})
	probe := mustChoose(t, b, 1300)
	b.Done(at(1310), probe, balance.Outcome{})
	for ms := 1310; ms < 2300; ms += 50 {
		if trySend(b, ms) {
			t.Fatalf("request sent after %d ms, during a possible pause", ms)
		}
	}
	if !trySend(b, 2600) {
		t.Error("no request is sent after the possible pause")
	}
}
