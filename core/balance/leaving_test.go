package balance_test

import (
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// leavingPair returns a balancer with two targets, and a lease of one of them.
func leavingPair(t *testing.T) (*balance.Balancer, []*target.Target, balance.Lease) {
	t.Helper()
	targets := []*target.Target{
		{ID: "a", Born: 1, Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true},
		{ID: "b", Born: 1, Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true},
	}
	b := balance.New("vm", "north", "north-0")
	b.SetTargets(targets)
	b.SetSynced()
	return b, targets, mustChoose(t, b, 0)
}

func mustChoose(t *testing.T, b *balance.Balancer, ms int) balance.Lease {
	t.Helper()
	l, err := b.Choose(at(ms), balance.Request{Service: "s", Route: "r", Key: "k", Idempotent: true, Urgent: true})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against new requests to an upstream that has reported that it is leaving, whatever
// arrives later.
func TestLeavingIsFinal(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *balance.Balancer, targets []*target.Target, l balance.Lease) []*target.Target
		back bool // Requests may be sent to it again.
	}{
		{"no later message", func(_ *balance.Balancer, targets []*target.Target, _ balance.Lease) []*target.Target {
			return targets
		}, false},
		{"response without it", func(b *balance.Balancer, targets []*target.Target, l balance.Lease) []*target.Target {
			b.Heard(at(50), l, balance.Notice{})
			return targets
		}, false},
		{"registration says ready", func(_ *balance.Balancer, targets []*target.Target, l balance.Lease) []*target.Target {
			return renewed(targets, l.Target.ID, l.Target.Born)
		}, false},
		{"registration lapses and is renewed", func(b *balance.Balancer, targets []*target.Target, l balance.Lease) []*target.Target {
			b.SetTargets(nil)
			b.Expire(at(60))
			b.Expire(at(60_000))
			return targets
		}, false},
		{"new incarnation", func(_ *balance.Balancer, targets []*target.Target, l balance.Lease) []*target.Target {
			return renewed(targets, l.Target.ID, 2)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, targets, l := leavingPair(t)
			if !b.Heard(at(10), l, balance.Notice{Leaving: true}) {
				t.Error("Heard reported no change")
			}
			b.SetTargets(c.do(b, targets, l))
			got := 0
			for i := range 40 {
				next, err := b.Choose(at(100+i), balance.Request{Service: "s", Key: string(rune('a' + i)), Single: true, Urgent: true})
				if err != nil {
					t.Fatal(err)
				}
				if next.Target.ID == l.Target.ID {
					got++
				}
				b.Done(at(100+i), next, balance.Outcome{Answered: true})
			}
			if owner := mustChoose(t, b, 200); owner.Target.ID == l.Target.ID && !c.back {
				t.Error("requests for its objects are still sent to it")
			}
			if back := got > 0; back != c.back {
				t.Errorf("%d of 40 requests went to it", got)
			}
		})
	}
}

func renewed(targets []*target.Target, id string, born int64) []*target.Target {
	var list []*target.Target
	for _, to := range targets {
		to := *to
		if to.ID == id {
			to.Born = born
		}
		list = append(list, &to)
	}
	return list
}

// Guards against a request that is sent to an upstream which reported that it is leaving after
// it was chosen.
func TestAdmitRefusesLeavingUpstream(t *testing.T) {
	b, targets, first := leavingPair(t)
	second := mustChoose(t, b, 5)
	if first.Target.ID != second.Target.ID {
		t.Fatal("two requests for one object went to different targets")
	}
	b.Heard(at(10), first, balance.Notice{Leaving: true})
	if b.Admit(at(11), second) {
		t.Error("request admitted to an upstream that is leaving")
	}
	other := balance.New("other", "north", "north-0")
	other.SetTargets(targets)
	other.MergeReports(at(20), b.Reports(at(20)))
	for i := range 20 {
		next := mustChoose(t, other, 30+i)
		if next.Target.ID == first.Target.ID {
			t.Fatal("VM that merged the report sends a request to it")
		}
		other.Done(at(30+i), next, balance.Outcome{Answered: true})
	}
}

// Guards against a notice that is lost because the upstream's registration lapses before the
// response arrives.
func TestLeavingNoticeDuringLapse(t *testing.T) {
	for _, c := range []struct {
		name  string
		first bool // The response arrives before the registration is renewed.
	}{{"before the registration is renewed", true}, {"after the registration is renewed", false}} {
		b, targets, l := leavingPair(t)
		b.SetTargets(nil)
		if c.first {
			b.Heard(at(10), l, balance.Notice{Leaving: true})
		}
		b.SetTargets(targets)
		if !c.first {
			b.Heard(at(10), l, balance.Notice{Leaving: true})
		}
		for i := range 20 {
			next := mustChoose(t, b, 30+i)
			if next.Target.ID == l.Target.ID {
				t.Fatalf("%s: a request was sent to it", c.name)
			}
			b.Done(at(30+i), next, balance.Outcome{Answered: true})
		}
	}
}
