package overdue_test

import (
	"testing"
	"time"

	"auburnlatch/core/overdue"
)

var (
	start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	warm  = overdue.Class{Route: "r", Service: "s", Warm: true}
	fresh = overdue.Class{Route: "r", Service: "s"}
)

// observed returns an Estimator that has seen a hundred responses each of 300 ms for warm
// objects and 1 s for new ones.
func observed() *overdue.Estimator {
	var e overdue.Estimator
	for range 100 {
		e.Observe(start, warm, 300*time.Millisecond)
		e.Observe(start, fresh, time.Second)
	}
	return &e
}

func TestDue(t *testing.T) {
	valid := overdue.Request{Class: warm, Idempotent: true, Sent: 1, Attempts: 2, Deadline: start.Add(2 * time.Second)}
	for _, tc := range []struct {
		name   string
		change func(*overdue.Request)
		after  time.Duration // 0: never.
	}{
		{"a warm object", func(*overdue.Request) {}, 300 * time.Millisecond},
		{"a new object", func(r *overdue.Request) { r.Warm, r.Deadline = false, start.Add(3*time.Second) }, time.Second},
		{"a second response would come too late", func(r *overdue.Request) { r.Deadline = start.Add(1200 * time.Millisecond) }, 0},
		{"not idempotent", func(r *overdue.Request) { r.Idempotent = false }, 0},
		{"suspected of crashing upstreams", func(r *overdue.Request) { r.Suspected = true }, 0},
		{"no attempts left", func(r *overdue.Request) { r.Sent = 2 }, 0},
		{"short of slots", func(r *overdue.Request) { r.Utilization = 0.9 }, 0},
		{"unknown route", func(r *overdue.Request) { r.Route = "other" }, 0},
		{"another service", func(r *overdue.Request) { r.Service = "slower" }, 0},
	} {
		req := valid
		tc.change(&req)
		at, ok := observed().Due(start, req)
		if ok != (tc.after > 0) || ok && at.Sub(start).Round(20*time.Millisecond) != tc.after {
			t.Errorf("%s: %v, %v, want after %v", tc.name, at.Sub(start), ok, tc.after)
		}
	}
}

// Guards against response times of one service that make those of another one overdue after a route has
// moved.
func TestMovedRouteBeginsWithoutResponses(t *testing.T) {
	e := observed()
	moved := overdue.Request{Class: overdue.Class{Route: "r", Service: "slower", Warm: true}, Idempotent: true, Attempts: 2, Deadline: start.Add(time.Minute)}
	now := start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		if at, ok := e.Due(now, moved); ok && at.Sub(now) < 900*time.Millisecond {
			t.Fatalf("overdue after %v, the service responds after 900ms", at.Sub(now))
		}
		e.Observe(now, moved.Class, 900*time.Millisecond)
	}
}

// Guards against waits that a short timeout cut off and that count after it was raised.
func TestRaisedTimeoutBeginsWithoutWaitsInVain(t *testing.T) {
	var e overdue.Estimator
	short, long := warm, warm
	short.Timeout, long.Timeout = 200*time.Millisecond, 2*time.Second
	for range 100 {
		e.Observe(start, short, short.Timeout)
	}
	req := overdue.Request{Class: long, Idempotent: true, Attempts: 2, Deadline: start.Add(2 * time.Second)}
	if at, ok := e.Due(start, req); ok {
		t.Errorf("overdue after %v by waits under a timeout of %v", at.Sub(start), short.Timeout)
	}
}

// Guards against response times that outlive their route.
func TestRemovedRouteIsForgotten(t *testing.T) {
	e := observed()
	e.Keep(func(c overdue.Class) bool { return c.Route != "r" })
	if at, ok := e.Due(start, overdue.Request{Class: warm, Idempotent: true, Attempts: 2, Deadline: start.Add(time.Hour)}); ok {
		t.Errorf("overdue after %v by responses of a route that was removed", at.Sub(start))
	}
}

func TestFewResponsesSayNothing(t *testing.T) {
	var e overdue.Estimator
	for range 39 {
		e.Observe(start, warm, time.Millisecond)
	}
	if _, ok := e.Due(start, overdue.Request{Class: warm, Idempotent: true, Attempts: 2, Deadline: start.Add(time.Hour)}); ok {
		t.Error("39 responses are enough")
	}
}

// A service becomes slower for good: after two windows no earlier response counts.
func TestQuantilesFollowTheService(t *testing.T) {
	e := observed()
	req := overdue.Request{Class: warm, Idempotent: true, Attempts: 2}
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		e.Observe(now, warm, 900*time.Millisecond)
	}
	req.Deadline = now.Add(time.Minute)
	at, ok := e.Due(now, req)
	if !ok || at.Sub(now).Round(20*time.Millisecond) != 900*time.Millisecond {
		t.Errorf("overdue after %v, %v", at.Sub(now), ok)
	}
}

// An idle route has no quantiles after two windows.
func TestOldResponsesAreForgotten(t *testing.T) {
	e := observed()
	now := start.Add(21 * time.Second)
	if _, ok := e.Due(now, overdue.Request{Class: warm, Idempotent: true, Attempts: 2, Deadline: now.Add(time.Minute)}); ok {
		t.Error("responses of 21 s ago count")
	}
}

func BenchmarkDue(b *testing.B) {
	e := observed()
	req := overdue.Request{Class: warm, Idempotent: true, Attempts: 2, Deadline: start.Add(time.Minute)}
	b.ReportAllocs()
	for b.Loop() {
		e.Due(start, req)
	}
}
