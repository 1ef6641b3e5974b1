package balance_test

import (
	"slices"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
	"auburnlatch/core/throttle"
)

// Guards against VMs that place objects by slots that an upstream no longer has.
func TestPlacingFollowsChangedSlots(t *testing.T) {
	before := newTargets(8, map[string]int{"north": 4})
	after := newTargets(8, map[string]int{"north": 4})
	after[0].Slots = 1
	seen, fresh := balance.New("seen", "north", "north-0"), balance.New("fresh", "north", "north-0")
	seen.SetTargets(before)
	seen.SetTargets(after)
	fresh.SetTargets(after)
	const objects = 400
	want, got := owners(t, fresh, start, objects), owners(t, seen, start, objects)
	if !slices.Equal(got, want) {
		t.Errorf("%d of %d objects have another owner than at a VM that has just started, and the upstream has %d instead of %d of them",
			countMoved(got, want), objects, objectsPerTarget(got)[after[0].ID], objectsPerTarget(want)[after[0].ID])
	}
}

// restarted returns a VM with one target that has started again under the same ID, and the
// leases of requests that its former process had.
func restarted(t *testing.T, requests int) (b *balance.Balancer, former []balance.Lease) {
	t.Helper()
	old := &target.Target{ID: "only", Born: 1000, Service: "s", Region: "north", Zone: "north-0", Slots: 4, Usable: true}
	b = balance.New("vm", "north", "north-0")
	b.SetVMs(namedVMs("vm"))
	b.SetSynced()
	b.SetTargets([]*target.Target{old})
	for range requests {
		former = append(former, choose(t, b, start, balance.Request{Key: "object", Urgent: true, Depth: 100}))
	}
	again := *old
	again.Born = 2000
	b.SetTargets([]*target.Target{&again})
	return b, former
}

// Guards against what the former process of an upstream said or failed to say, when it arrives late,
// for an upstream that has started again under the same ID.
func TestLateOutcomesConcernTheFormerProcess(t *testing.T) {
	now := start.Add(time.Second)
	for name, late := range map[string]func(b *balance.Balancer, l balance.Lease){
		"load": func(b *balance.Balancer, l balance.Lease) {
			b.Done(now, l, balance.Outcome{Answered: true, Load: &balance.Load{Running: 4, Waiting: 100, Pace: 9}})
		},
		"failed": func(b *balance.Balancer, l balance.Lease) {
			b.Done(now, l, balance.Outcome{Failed: true, Unreachable: true})
		},
		"silent": func(b *balance.Balancer, l balance.Lease) { b.Done(now, l, balance.Outcome{Unanswered: true}) },
		"slow": func(b *balance.Balancer, l balance.Lease) {
			b.Done(now, l, balance.Outcome{Answered: true, Served: true})
		},
		"leaving": func(b *balance.Balancer, l balance.Lease) { b.Heard(now, l, balance.Notice{Leaving: true}) },
		"pause":   func(b *balance.Balancer, l balance.Lease) { b.Heard(now, l, balance.Notice{RetryAfter: time.Minute}) },
		"limit": func(b *balance.Balancer, l balance.Lease) {
			b.Heard(now, l, balance.Notice{Limit: throttle.Notice{Kind: throttle.Named}})
		},
		"in flight": func(*balance.Balancer, balance.Lease) {},
	} {
		t.Run(name, func(t *testing.T) {
			b, former := restarted(t, 20)
			for _, l := range former {
				late(b, l)
			}
			if s := b.Dump(now)[0]; s.Suspect || s.Failing > 0 || s.Latency > 0 {
				t.Errorf("%+v, want nothing that the former process did", s)
			}
			l := choose(t, b, now, balance.Request{Key: "object"})
			if l.Target.Born != 2000 || l.Ahead != 0 || l.Warm || l.Pace != 1 {
				t.Errorf("sent to the process born at %d, %v ahead, warm %t, pace %v; want the new one, of which nothing is known", l.Target.Born, l.Ahead, l.Warm, l.Pace)
			}
			if s := b.Dump(now)[0]; s.InFlight != 1 {
				t.Errorf("%+v, want 1 request in flight", s)
			}
		})
	}
}

// Guards against reports of other VMs on the former process of an upstream, which would keep its
// successor from being used.
func TestReportsOfAnotherIncarnationAreDropped(t *testing.T) {
	b, _ := restarted(t, 1)
	now := start.Add(time.Second)
	limit := &throttle.Report{Limited: true}
	b.MergeReports(now, []balance.Report{{Target: "only", Born: 1000, Leaving: true, Limit: limit}, {Target: "only", Born: 3000, Leaving: true, Limit: limit}, {Target: "only", Leaving: true}})
	if l := choose(t, b, now, balance.Request{Key: "object"}); l.Target.Born != 2000 {
		t.Errorf("sent to the process born at %d", l.Target.Born)
	}
}

// Guards against objects that count as warm at an upstream that started again and lost its caches.
func TestObjectsAreNotWarmAtNewIncarnation(t *testing.T) {
	now := start.Add(time.Second)
	b, former := restarted(t, 1)
	b.Done(now, former[0], balance.Outcome{Answered: true, Served: true})
	if l := choose(t, b, now, balance.Request{Key: "object"}); l.Warm {
		t.Error("warm by a response of the former process")
	}
	giver, _ := restarted(t, 1)
	placed, _ := giver.Placements()
	if len(placed) != 1 || placed[0].Born != 1000 {
		t.Fatalf("placements %+v, want one at the former process", placed)
	}
	starting, _ := restarted(t, 0)
	starting.MergePlacements(now, placed)
	l := choose(t, starting, now, balance.Request{Key: "object"})
	if l.Warm || l.Target.Born != 2000 {
		t.Errorf("warm %t at the process born at %d, by a placement at its predecessor", l.Warm, l.Target.Born)
	}
	if placed, _ = starting.Placements(); len(placed) != 1 || placed[0].Born != 2000 {
		t.Errorf("placements %+v, want one at the new process", placed)
	}
}

// Guards against a burst of retries after a VM was suspended, by what it earned before: callers who
// retried elsewhere meanwhile have used the budget of all VMs.
func TestRetriesEarnedBeforeSuspensionAreGone(t *testing.T) {
	var b balance.RetryBudget
	const window = 10 * time.Second
	b.SetBounds(0.2, window, 0)
	for i := range 1000 {
		b.Request(start.Add(time.Duration(i)*time.Millisecond), "s")
	}
	if !b.Retry(start.Add(time.Second), "s") {
		t.Fatal("no retry was earned")
	}
	wake := start.Add(time.Minute)
	if b.Retry(wake, "s") {
		t.Error("a retry is granted for requests of a minute ago")
	}
	b.Request(wake, "s")
	if b.Retry(wake, "s") || b.Spare(wake, "s") {
		t.Error("a retry is granted for a single request after the suspension")
	}
}
