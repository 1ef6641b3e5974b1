package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// Guards against callers that keep getting errors from a target that fails every request while
// its health checks succeed. It must be ejected after a few requests, and get its objects back
// once it works again.
func TestFailingTargetIsEjectedAndRecovers(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 6}))
	key := "object"
	lease := choose(t, b, start, balance.Request{Key: key})
	answered(b, start, lease)
	first := lease.Target.ID
	now, failures := start, 0
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		l := choose(t, b, now, balance.Request{Key: key, Idempotent: true})
		bad := l.Target.ID == first
		if bad {
			failures++
		}
		b.Done(now, l, balance.Outcome{Answered: true, Failed: bad})
	}
	if failures > 5 {
		t.Errorf("%d requests went to the failing target, want at most 5", failures)
	}
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		l := choose(t, b, now, balance.Request{Key: key, Idempotent: true})
		answered(b, now, l)
	}
	if l := choose(t, b, now, balance.Request{Key: key}); l.Target.ID != first {
		t.Errorf("object is at %s, want it back at %s", l.Target.ID, first)
	}
}

// Guards against objects that move although no target is better. All upstreams refuse half of
// their requests, saturated or not, as after a bad release of a service. When they were ejected
// in turn, each object was handled by two or three other upstreams to which it was new, and
// look-ups took 1.5 times as long.
func TestRefusalsByAllTargetsMoveNoObjects(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 16}))
	rnd := rand.New(rand.NewPCG(1, 1))
	owners, away := make(map[int]string), 0
	now := start
	const requests = 4000
	for i := range requests {
		now = now.Add(5 * time.Millisecond)
		object := i % 200
		l := choose(t, b, now, balance.Request{Key: fmt.Sprint(object), Idempotent: true})
		if owners[object] == "" {
			owners[object] = l.Target.ID
		}
		if l.Target.ID != owners[object] {
			away++
		}
		b.Done(now, l, balance.Outcome{Answered: true, Refused: rnd.Float64() < 0.55, Load: &balance.Load{Slots: 4}})
	}
	if away > requests/20 {
		t.Errorf("%d of %d requests were not sent to the owner of their object", away, requests)
	}
}

// An idle upstream refuses every request. Each request for its objects would need a retry, for
// which there is a budget.
func TestRefusingTargetIsEjected(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 6}))
	first := choose(t, b, start, balance.Request{Key: "k"})
	answered(b, start, first)
	now, refused := start, 0
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		l := choose(t, b, now, balance.Request{Key: "k", Idempotent: true})
		bad := l.Target.ID == first.Target.ID
		if bad {
			refused++
		}
		b.Done(now, l, balance.Outcome{Answered: true, Refused: bad, Load: &balance.Load{Slots: 4}})
	}
	if refused > 30 {
		t.Errorf("%d of 100 requests went to the refusing target, want at most 30", refused)
	}
}

// Guards against a target at which half of the requests hang until the caller's deadline, while
// it responds to the others as fast as usual. It never becomes silent, as responses keep
// coming, and for ten seconds a third of a region's callers waited in vain. It must be ejected.
func TestHangingTargetIsEjected(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 6}))
	first := choose(t, b, start, balance.Request{Key: "k"})
	answered(b, start, first)
	now, hung := start, 0
	for i := range 40 {
		now = now.Add(time.Second)
		l := choose(t, b, now, balance.Request{Key: "k"})
		if l.Target.ID == first.Target.ID && i%2 == 0 {
			hung++
			b.Done(now.Add(800*time.Millisecond), l, balance.Outcome{Unanswered: true})
			continue
		}
		b.Done(now.Add(80*time.Millisecond), l, balance.Outcome{Answered: true})
	}
	if hung > 12 {
		t.Errorf("%d of 40 requests hung, want at most 12", hung)
	}
}

// A host loses power and sends neither resets nor responses. Requests in flight hang, and no
// more may be added once it has been silent for longer than it ever takes.
func TestSilentTargetIsAvoided(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 4}))
	for i := range 8 {
		l := choose(t, b, start, balance.Request{Key: fmt.Sprint(i)})
		answered(b, start.Add(80*time.Millisecond), l)
	}
	now := start.Add(time.Second)
	l := choose(t, b, now, balance.Request{Key: "k"})
	now = now.Add(time.Second)
	if again := choose(t, b, now, balance.Request{Key: "k"}); again.Target.ID == l.Target.ID {
		t.Error("another request was sent to a silent target")
	}
}

// Guards against a long service time that is taken for silence. Responses take 800 ms where the
// object is new to the upstream. When VMs treated every upstream as dead that had not responded
// within 500 ms, each object moved on to the next one, to which it was new as well.
func TestLongServiceTimeIsNotSilence(t *testing.T) {
	for _, known := range []int{0, 40} {
		b := newVM("north", newTargets(4, map[string]int{"north": 40}))
		now := start
		for i := range known {
			l := choose(t, b, now, balance.Request{Key: fmt.Sprint(i)})
			now = now.Add(800 * time.Millisecond)
			answered(b, now, l)
		}
		l := choose(t, b, now, balance.Request{Key: "k"})
		if again := choose(t, b, now.Add(700*time.Millisecond), balance.Request{Key: "k"}); again.Target.ID != l.Target.ID {
			t.Errorf("after %d responses: the object moved while its owner was working on a request", known)
		}
	}
}

// All upstreams of a region are full, and a VM has recent reports of only a few of them. If the
// others were assumed to be idle, each request whose owner has no room would make its object
// new to one more upstream.
func TestTargetWithoutReportIsNotAssumedIdle(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 40}))
	full := &balance.Load{Running: 4, Waiting: 8, Slots: 4}
	for i := range 12 {
		if l, err := b.Choose(start, balance.Request{Service: "s", Key: fmt.Sprint(i % 4)}); err == nil {
			b.Done(start, l, balance.Outcome{Answered: true, Load: full})
		}
	}
	spilled := 0
	for i := range 100 {
		if l, err := b.Choose(start.Add(100*time.Millisecond), balance.Request{Service: "s", Key: fmt.Sprint(i % 4), Within: time.Millisecond}); err == nil {
			spilled++
			b.Done(start.Add(100*time.Millisecond), l, balance.Outcome{Answered: true, Load: full})
		}
	}
	if spilled > 0 {
		t.Errorf("%d of 100 requests went to full upstreams without a recent report", spilled)
	}
}

// All upstreams of a service fail at once, as after a bad release or when the network to them
// is broken. If all were ejected, no upstream would be left to send requests to.
func TestSuspicionOfMostTargetsIsIgnored(t *testing.T) {
	b := newVM("north", newTargets(4, map[string]int{"north": 4}))
	now := start
	for i := range 12 {
		now = now.Add(10 * time.Millisecond)
		l, err := b.Choose(now, balance.Request{Service: "s", Key: fmt.Sprint(i)})
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		b.Done(now, l, balance.Outcome{Answered: true, Failed: true})
	}
}

// An upstream is ejected for failures, and restarts under the same ID. When the new incarnation
// inherited the history of the old one, it got no requests for seconds, and was assumed to have
// the old one's objects loaded.
func TestRestartedUpstreamHasNoHistory(t *testing.T) {
	now := start
	b := balance.New("vm", "r", "z")
	one := func(born int64) *target.Target {
		return &target.Target{ID: "a", Born: born, Service: "s", Zone: "z", Region: "r", Slots: 4, Usable: true}
	}
	b.SetTargets([]*target.Target{one(1)})
	req := balance.Request{Service: "s", Key: "k"}
	for range 5 {
		l, err := b.Choose(now, req)
		if err != nil {
			break
		}
		b.Done(now, l, balance.Outcome{Failed: true, Unreachable: true})
	}
	held, err := b.Choose(now.Add(10*time.Second), balance.Request{Service: "s", Key: "k", Idempotent: true})
	if err != nil {
		t.Fatal(err)
	}
	if d := b.Dump(now)[0]; d.Failing == 0 || !d.Suspect {
		t.Fatalf("failures not recorded: %+v", d)
	}
	b.SetTargets([]*target.Target{one(2)})
	b.Done(now, held, balance.Outcome{Failed: true, Unreachable: true}) // A late result of the first incarnation.
	if d := b.Dump(now)[0]; d.Failing != 0 || d.Suspect || d.InFlight != 0 || d.Latency != 0 {
		t.Errorf("the new incarnation has the history of the old one: %+v", d)
	}
	if got, want := one(1).Incarnation(), one(2).Incarnation(); got == want {
		t.Errorf("both incarnations are named %q, so connections of one would be used for the other", got)
	}
}
