package balance_test

import (
	"testing"
	"time"

	"auburnlatch/core/balance"
)

// newTwoServices returns a VM with two targets of each of the services s and t.
func newTwoServices() *balance.Balancer {
	targets := newTargets(9, map[string]int{"r": 2})
	for _, s := range newTargets(9, map[string]int{"r": 2}) {
		moved := *s
		moved.ID, moved.Service = "t-"+s.ID, "t"
		targets = append(targets, &moved)
	}
	return newVM("r", targets)
}

// serveRoute has n requests of the route "look-up" for one object served by a service, and returns the
// expected time of the next one and when it was sent.
func serveRoute(t *testing.T, b *balance.Balancer, now time.Time, service string, n int, work time.Duration) (time.Duration, time.Time) {
	t.Helper()
	req := lookUp("object")
	req.Service = service
	for i := 0; ; i++ {
		l, err := b.Choose(now, req)
		if err != nil {
			t.Fatal(err)
		}
		if i == n {
			return l.Expected, now
		}
		now = now.Add(work)
		b.Done(now, l, balance.Outcome{Answered: true, Served: true, Load: &balance.Load{Slots: 9, Pace: 1}})
	}
}

// Guards against the times of one service that are expected of another one after a route has moved.
func TestMovedRouteExpectsNothingOfAnotherService(t *testing.T) {
	b := newTwoServices()
	expected, now := serveRoute(t, b, start, "s", 100, warmWork)
	if (expected - warmWork).Abs() > warmWork/10 {
		t.Fatalf("expected %v of s, want %v", expected, warmWork)
	}
	if expected, now = serveRoute(t, b, now, "t", 0, 0); expected != 0 {
		t.Errorf("expected %v of t, of which nothing is known", expected)
	}
	if expected, _ = serveRoute(t, b, now, "t", 20, 3*warmWork); (expected - 3*warmWork).Abs() > warmWork/3 {
		t.Errorf("expected %v of t, want %v", expected, 3*warmWork)
	}
}

// Guards against statistics that outlive their route.
func TestRemovedRouteIsForgotten(t *testing.T) {
	b := newTwoServices()
	_, now := serveRoute(t, b, start, "s", 100, warmWork)
	b.KeepRoutes(func(route string) bool { return route != "look-up" })
	if expected, _ := serveRoute(t, b, now, "s", 0, 0); expected != 0 {
		t.Errorf("expected %v by requests of a route that was removed", expected)
	}
}

// Guards against an object that loses its owner while its route is not sticky.
func TestOwnerOutlivesSticky(t *testing.T) {
	b := newVM("r", newTargets(9, map[string]int{"r": 5}))
	req := lookUp("object")
	owner := choose(t, b, start, req)
	answered(b, start, owner)
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		single := req
		single.Key, single.Single = now.String(), true
		l := choose(t, b, now, single)
		if l.Owner && l.Warm {
			t.Fatal("a request without an object found it warm")
		}
		answered(b, now, l)
	}
	if l := choose(t, b, now, req); l.Target.ID != owner.Target.ID {
		t.Errorf("the object moved from %s to %s", owner.Target.ID, l.Target.ID)
	}
}

// Guards against a timeout below the usual response time that makes upstreams suspect.
func TestShorterTimeoutSuspectsNobody(t *testing.T) {
	const work, timeout = 600 * time.Millisecond, 200 * time.Millisecond
	targets := newTargets(9, map[string]int{"r": 4})
	b := newVM("r", targets)
	now := start
	for i := range 200 {
		l := choose(t, b, now, balance.Request{Route: "other", Key: string(rune('a' + i%20))})
		now = now.Add(work)
		answered(b, now, l)
	}
	for i := range 200 {
		l := choose(t, b, now, balance.Request{Route: "cut", Key: string(rune('a' + i%20))})
		now = now.Add(timeout)
		b.Done(now, l, balance.Outcome{Unanswered: true})
	}
	if c := b.Census(now, "s"); c.Suspect != 0 {
		t.Errorf("%d of %d upstreams are suspect", c.Suspect, len(targets))
	}
}

// Guards against retries that were earned at another service, or by a higher ratio.
func TestRetryBudgetFollowsTheRules(t *testing.T) {
	earned := func() *balance.RetryBudget {
		b := &balance.RetryBudget{}
		b.SetBounds(0.2, 10*time.Second, 0)
		for i := range 1000 {
			b.Request(start.Add(time.Duration(i)*time.Millisecond), "s")
		}
		return b
	}
	now := start.Add(time.Second)
	granted := func(b *balance.RetryBudget, service string) (n int) {
		for b.Retry(now, service) {
			n++
		}
		return n
	}
	if n := granted(earned(), "s"); n == 0 {
		t.Error("no retry at the service that had the requests")
	}
	if n := granted(earned(), "t"); n != 0 {
		t.Errorf("%d retries at a service without requests", n)
	}
	for _, ratio := range []float64{0.02, 0} {
		b := earned()
		b.SetBounds(ratio, 10*time.Second, 0)
		if n, most := granted(b, "s"), ratio*1000; float64(n) > most {
			t.Errorf("%d retries of 1,000 requests after the ratio was lowered to %v", n, ratio)
		}
	}
}
