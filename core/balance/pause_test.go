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

func pausing(vm string) *balance.Balancer {
	b := balance.New(vm, "north", "north-0")
	b.SetVMs(vmsNamed(vm))
	b.SetTargets([]*target.Target{{ID: "only", Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}})
	return b
}

// may reports whether a request may be sent at a moment. It is sent, and not answered.
func may(b *balance.Balancer, ms int) bool {
	l, err := b.Choose(at(ms), balance.Request{Service: "s", Urgent: true, Idempotent: true})
	if err != nil {
		return false
	}
	b.Done(at(ms), l, balance.Outcome{NotSent: true})
	return true
}

// Guards against requests in a pause that an upstream asked for, and a burst after it.
func TestPause(t *testing.T) {
	b := pausing("vm")
	early, first := leased(t, b, 0), leased(t, b, 0)
	b.Heard(at(100), first, balance.Notice{RetryAfter: 2 * time.Second})
	b.Heard(at(200), first, balance.Notice{RetryAfter: time.Second}) // Ends sooner.
	b.Heard(at(300), early, balance.Notice{})                        // Was sent before.
	for ms := 300; ms < 2100; ms += 50 {
		if may(b, ms) {
			t.Fatalf("sent after %d ms, in the pause", ms)
		}
	}
	if b.Admit(at(1000), early) {
		t.Error("a request chosen before the pause is sent in it")
	}
	_, err := b.Choose(at(1100), balance.Request{Service: "s", Urgent: true})
	if after := verdict.As(err).RetryAfter; after < time.Second || after > 1600*time.Millisecond {
		t.Errorf("callers are told to come back after %v, want the end of the pause", after)
	}
	if !may(b, 2700) {
		t.Error("nothing is sent after the pause")
	}
	if may(b, 2750) {
		t.Error("a second request is sent before the first is answered")
	}
	probe := leased(t, b, 3000)
	b.Heard(at(3050), probe, balance.Notice{})
	if !may(b, 3060) || !may(b, 3061) {
		t.Error("an answer does not end it")
	}
}

// Guards against many VMs that send again at the same moment after a pause.
func TestVMsDoNotComeBackAtOnce(t *testing.T) {
	const vms = 40
	var back []time.Duration
	for i := range vms {
		b := pausing(fmt.Sprint("vm", i))
		b.Heard(at(0), leased(t, b, 0), balance.Notice{RetryAfter: 3 * time.Second})
		for ms := 3000; ms < 5000; ms++ {
			if may(b, ms) {
				back = append(back, time.Duration(ms)*time.Millisecond)
				break
			}
		}
	}
	if len(back) != vms {
		t.Fatalf("%d of %d VMs are back", len(back), vms)
	}
	slices.Sort(back)
	if n := mostInWindow(back, 250*time.Millisecond); n > vms/2 {
		t.Errorf("%d of %d VMs are back within 250 ms", n, vms)
	}
}

// Guards against a pause that is missed because the caller left before the answer came.
func TestPauseWhileCallerLeaves(t *testing.T) {
	b := pausing("vm")
	b.Heard(at(0), leased(t, b, 0), balance.Notice{RetryAfter: time.Second})
	probe := leased(t, b, 1300)
	b.Done(at(1310), probe, balance.Outcome{})
	for ms := 1310; ms < 2300; ms += 50 {
		if may(b, ms) {
			t.Fatalf("sent after %d ms, in what may be a pause", ms)
		}
	}
	if !may(b, 2600) {
		t.Error("nothing is sent afterwards")
	}
}
