package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// A target fails every request while its health answers are good. Its callers
// see errors until it is left alone, and must not see them for longer than a few
// requests; once it works again it gets its objects back.
func TestFailingTargetIsLeftAloneAndComesBack(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 6}))
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
		t.Errorf("%d requests went to the failing target", failures)
	}
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		l := choose(t, b, now, balance.Request{Key: key, Idempotent: true})
		answered(b, now, l)
	}
	if l := choose(t, b, now, balance.Request{Key: key}); l.Target.ID != first {
		t.Errorf("the object is at %s and not back at %s", l.Target.ID, first)
	}
}

// All upstreams refuse half of what they are sent, busy or not, as after a bad
// release of a service. Left alone in turn, they had their objects handled by two
// or three others each, to which these were new; look-ups took half as long again.
// Where none is better, objects stay with their owners.
func TestRefusalsByAllMoveNothing(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 16}))
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
		t.Errorf("%d of %d requests were not sent to their owner", away, requests)
	}
}

// One upstream refuses whatever it is sent, with nothing to do. Each of its objects
// would cost a second try, of which there is a budget.
func TestTargetThatRefusesAllIsLeftAlone(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 6}))
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
		t.Errorf("%d of 100 requests went to the target that refuses", refused)
	}
}

// Half of what a target is sent hangs until the caller's time is over, the rest is
// answered as fast as ever. Silence never shows, as answers keep coming; for ten
// seconds a third of a region's callers waited in vain. It must be left alone.
func TestTargetThatLetsRequestsHangIsLeftAlone(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 6}))
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
		t.Errorf("%d of 40 requests hung", hung)
	}
}

// A host loses power: no reset, no answer. Requests that are under way hang, and
// none may be added once it has been silent for longer than it ever takes.
func TestSilentTargetIsLeftAlone(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 4}))
	for i := range 8 {
		l := choose(t, b, start, balance.Request{Key: fmt.Sprint(i)})
		answered(b, start.Add(80*time.Millisecond), l)
	}
	now := start.Add(time.Second)
	l := choose(t, b, now, balance.Request{Key: "k"})
	now = now.Add(time.Second)
	if again := choose(t, b, now, balance.Request{Key: "k"}); again.Target.ID == l.Target.ID {
		t.Error("a silent target is sent another request")
	}
}

// Answers of a service take 800 ms where the object is new to the upstream. VMs
// that took every upstream for dead which had not answered in half a second moved
// each object on to the next one, to which it was new as well.
func TestLongWorkIsNotSilence(t *testing.T) {
	for _, known := range []int{0, 40} {
		b := vmOf("north", fleet(4, map[string]int{"north": 40}))
		now := start
		for i := range known {
			l := choose(t, b, now, balance.Request{Key: fmt.Sprint(i)})
			now = now.Add(800 * time.Millisecond)
			answered(b, now, l)
		}
		l := choose(t, b, now, balance.Request{Key: "k"})
		if again := choose(t, b, now.Add(700*time.Millisecond), balance.Request{Key: "k"}); again.Target.ID != l.Target.ID {
			t.Errorf("after %d answers: the object moved on while its owner was at work", known)
		}
	}
}

// All upstreams of a region are full, and a VM has heard so from a few of them in
// the last second. Were those it has not heard from taken for idle, each request
// whose owner has no room would make its object new to one more upstream.
func TestUpstreamNotHeardOfIsNotTakenForIdle(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 40}))
	full := &balance.Load{Running: 4, Waiting: 8, Slots: 4}
	for i := range 12 {
		if l, err := b.Choose(start, balance.Request{Service: "s", Key: fmt.Sprint(i % 4)}); err == nil {
			b.Done(start, l, balance.Outcome{Answered: true, Load: full})
		}
	}
	spilt := 0
	for i := range 100 {
		if l, err := b.Choose(start.Add(100*time.Millisecond), balance.Request{Service: "s", Key: fmt.Sprint(i % 4), Within: time.Millisecond}); err == nil {
			spilt++
			b.Done(start.Add(100*time.Millisecond), l, balance.Outcome{Answered: true, Load: full})
		}
	}
	if spilt > 0 {
		t.Errorf("%d of 100 requests went to upstreams that only had not been heard of", spilt)
	}
}

// All copies of a service fail at once, as after a bad release or when the way
// to them is broken. Were all left alone there would be nobody to ask.
func TestMostTargetsBadIsDistrusted(t *testing.T) {
	b := vmOf("north", fleet(4, map[string]int{"north": 4}))
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

// An upstream is left alone for its failures and is cold for this VM. It starts
// again under the same ID. Judged by the life before, it got nothing for seconds,
// and what it had learned there was taken for known.
func TestUpstreamThatStartsAgainIsAnother(t *testing.T) {
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
		t.Fatalf("the failures were not noted: %+v", d)
	}
	b.SetTargets([]*target.Target{one(2)})
	b.Done(now, held, balance.Outcome{Failed: true, Unreachable: true}) // A late word of the first life.
	if d := b.Dump(now)[0]; d.Failing != 0 || d.Suspect || d.InFlight != 0 || d.Latency != 0 {
		t.Errorf("the new start is judged by the one before: %+v", d)
	}
	if got, want := one(1).Incarnation(), one(2).Incarnation(); got == want {
		t.Errorf("both starts are named %q, so that one's connections are used for the other", got)
	}
}
