package warmth_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/lease"
	"auburnlatch/core/warmth"
)

const (
	registerWithin = 2500 * time.Millisecond
	maxGap         = 3 * time.Second
)

// at returns the moment a number of milliseconds after the origin of the tests.
func at(ms int) lease.Moment { return lease.Moment(time.Minute + time.Duration(ms)*time.Millisecond) }

func Example() {
	var t warmth.Tracker
	t.SetBounds(2*time.Second, 3*time.Second)
	second := lease.Moment(time.Second)
	fmt.Println("just started:", t.CheckDue(10*second, 10*second, "i-1", 0))
	t.Warm(10*second, "i-1")
	fmt.Println("checked:", t.CheckDue(11*second, 10*second, "i-1", 0))
	for asOf := 10 * second; asOf <= 13*second; asOf += second {
		t.Verified(asOf)
	}
	fmt.Println("registrations are current:", t.CheckDue(13*second, 13*second, "i-1", 0))
	t.Lost(13*second, "i-1")
	fmt.Println("a connection was lost:", t.CheckDue(13*second, 13*second, "i-1", 0))
	// Output:
	// just started: true
	// checked: false
	// registrations are current: false
	// a connection was lost: true
}

func TestCheckDue(t *testing.T) {
	follow := func(from, to int) func(*warmth.Tracker) {
		return func(t *warmth.Tracker) {
			for ms := from; ms <= to; ms += 500 {
				t.Verified(at(ms))
			}
		}
	}
	lost := func(ms int) func(*warmth.Tracker) { return func(t *warmth.Tracker) { t.Lost(at(ms), "i") } }
	warm := func(ms int) func(*warmth.Tracker) { return func(t *warmth.Tracker) { t.Warm(at(ms), "i") } }
	for _, tc := range []struct {
		name        string
		steps       []func(*warmth.Tracker)
		now, opened int
		want        bool
	}{
		{"nothing is known", nil, 0, 0, true},
		{"registrations were read once", []func(*warmth.Tracker){follow(0, 0)}, 100, 100, true},
		{"registrations were followed for less than upstreams take to register", []func(*warmth.Tracker){follow(0, 2000)}, 2100, 2100, true},
		{"registrations are current", []func(*warmth.Tracker){follow(0, 2500)}, 2600, 2600, false},
		{"registrations are no longer current", []func(*warmth.Tracker){follow(0, 2500)}, 5600, 5600, true},
		{"an open connection from before, no longer current", []func(*warmth.Tracker){follow(0, 9000)}, 11400, 6000, false},
		{"an open connection that has not been confirmed for long", []func(*warmth.Tracker){follow(0, 9000)}, 12100, 6000, true},
		{"a gap, and verified again", []func(*warmth.Tracker){follow(0, 4000), follow(7500, 9500)}, 9600, 9600, true},
		{"a gap, and verified for long enough", []func(*warmth.Tracker){follow(0, 4000), follow(7500, 10000)}, 10100, 10100, false},
		{"a connection was lost", []func(*warmth.Tracker){follow(0, 5000), lost(4900)}, 5000, 5000, true},
		{"a connection was lost, and registrations were verified since", []func(*warmth.Tracker){follow(0, 8000), lost(4900)}, 8000, 8000, false},
		{"a connection of another incarnation was lost", []func(*warmth.Tracker){follow(0, 5000), func(t *warmth.Tracker) { t.Lost(at(4900), "j") }}, 5000, 5000, false},
		{"an older connection than the one that was lost", []func(*warmth.Tracker){follow(0, 5000), lost(4900)}, 5000, 2400, false},
		{"a check, and registrations are not current", []func(*warmth.Tracker){warm(1000)}, 1100, 1000, false},
		{"a connection that was opened after the check", []func(*warmth.Tracker){warm(1000)}, 1200, 1100, true},
		{"a check after the loss, and registrations are current", []func(*warmth.Tracker){follow(0, 5000), lost(4900), warm(5000)}, 5100, 5100, false},
		{"a check long ago", []func(*warmth.Tracker){warm(1000)}, 6100, 1000, true},
	} {
		var tracker warmth.Tracker
		tracker.SetBounds(registerWithin, maxGap)
		for _, step := range tc.steps {
			step(&tracker)
		}
		if got := tracker.CheckDue(at(tc.now), at(tc.opened), "i", 0); got != tc.want {
			t.Errorf("%s: check due %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against requests without a check, at the usual rate, by VMs that had no connection to lose when
// the upstream started again.
func TestProcessesThatNothingHasShownAreTrustedSeldom(t *testing.T) {
	var tracker warmth.Tracker
	tracker.SetBounds(registerWithin, maxGap)
	sent := 0
	for ms := 0; ms <= 20_000; ms += 100 {
		if ms%500 == 0 {
			tracker.Verified(at(ms))
		}
		if ms >= 10_000 && !tracker.CheckDue(at(ms), at(ms), "i", 4*time.Second) {
			sent++
		}
	}
	if sent != 3 {
		t.Errorf("%d requests on new connections in ten seconds were sent without a check, want 3", sent)
	}
}

// Guards against registrations that count as current while upstreams that started in a short outage of
// the platform have yet to register.
func TestShortOutageDelaysRegistrations(t *testing.T) {
	var tracker warmth.Tracker
	tracker.SetBounds(registerWithin, 2800*time.Millisecond)
	for ms := 0; ms <= 10_000; ms += 500 {
		tracker.Verified(at(ms))
	}
	// The platform is away from 10.1 to 12.6 s. The upstream starts again at 10.2 s and registers at 14.6 s.
	tracker.Lost(at(10_200), "i")
	for ms := 12_700; ms <= 14_500; ms += 300 {
		tracker.Verified(at(ms))
		if !tracker.CheckDue(at(ms), at(ms), "i", 0) {
			t.Fatalf("no check of a new connection at %d ms, %d ms before it is registered", ms, 14_600-ms)
		}
	}
}

func TestKeep(t *testing.T) {
	var tracker warmth.Tracker
	tracker.SetBounds(registerWithin, maxGap)
	tracker.Warm(at(0), "gone")
	tracker.Warm(at(0), "here")
	tracker.Keep(func(incarnation string) bool { return incarnation == "here" })
	if tracker.CheckDue(at(0), at(0), "here", 0) || !tracker.CheckDue(at(0), at(0), "gone", 0) {
		t.Error("the wrong one was forgotten")
	}
}

// world simulates an upstream that starts again at random, a platform that is away at times, and a VM
// that is suspended at times and starts anew. Times are in milliseconds.
type world struct {
	rng *rand.Rand
	now int
	// born is when the upstream's process started, and registerAt when it registers next.
	born, registerAt int
	registered       bool
	awayUntil        int

	// The VM. knownBorn is of the newest process that a registration or a check has shown to it, and
	// lostBorn of the one that it has noticed the end of.
	tracker             *warmth.Tracker
	knownBorn, lostBorn int
	suspendedUntil      int
	nextRead            int
	conns               []connection

	// trustEvery is as in CheckDue, trusted when it last sent a request to a process that nothing had
	// shown, while registrations were current.
	trustEvery time.Duration
	trusted    int

	unchecked, checks int
}

// connection leads to the process that started at born.
type connection struct{ opened, born int }

const (
	step      = 10
	heartbeat = 1500
)

func newWorld(seed uint64, bounds func(*warmth.Tracker)) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	w.startVM(bounds)
	return w
}

func (w *world) startVM(bounds func(*warmth.Tracker)) {
	w.tracker, w.conns, w.knownBorn, w.lostBorn, w.trusted = &warmth.Tracker{}, nil, -1, -1, 0
	bounds(w.tracker)
}

// advance advances the world by a step, and returns what was wrong with a request, or "".
func (w *world) advance(bounds func(*warmth.Tracker)) string {
	w.now += step
	if w.rng.IntN(600) == 0 {
		w.awayUntil = w.now + w.rng.IntN(9000)
	}
	if w.rng.IntN(300) == 0 {
		w.born, w.registered, w.registerAt = w.now, false, w.now+w.rng.IntN(heartbeat)
	}
	away := w.now < w.awayUntil
	if away { // A heartbeat follows within an interval of the platform's return.
		w.registerAt = max(w.registerAt, w.awayUntil+w.rng.IntN(heartbeat))
	}
	w.registered = w.registered || !away && w.now >= w.registerAt
	if w.rng.IntN(900) == 0 {
		w.suspendedUntil = w.now + w.rng.IntN(6000)
	}
	if w.now < w.suspendedUntil {
		return ""
	}
	if w.rng.IntN(1500) == 0 {
		w.startVM(bounds)
	}
	if !away && w.now >= w.nextRead {
		w.nextRead = w.now + 300 + w.rng.IntN(600)
		w.tracker.Verified(at(w.now))
		if w.registered {
			w.knownBorn = max(w.knownBorn, w.born)
		}
	}
	if w.rng.IntN(4) > 0 {
		return ""
	}
	return w.send()
}

// send sends a request on an open or a new connection, and returns what was wrong with it.
func (w *world) send() string {
	if w.rng.IntN(20) == 0 {
		w.conns = nil // The VM closes those that are idle.
	}
	if len(w.conns) == 0 || w.rng.IntN(3) == 0 {
		w.conns = append(w.conns, connection{w.now, w.born})
	}
	c := w.conns[w.rng.IntN(len(w.conns))]
	if c.born != w.born {
		w.tracker.Lost(at(w.now), "i")
		w.conns, w.lostBorn = nil, max(w.lostBorn, c.born)
		return ""
	}
	if w.tracker.CheckDue(at(w.now), at(c.opened), "i", w.trustEvery) {
		w.tracker.Warm(at(w.now), "i")
		w.knownBorn = w.born
		w.checks++
		return ""
	}
	w.unchecked++
	switch age := w.now - w.born; {
	case w.knownBorn >= w.born:
		return ""
	case !w.tracker.Current(at(w.now)):
		return fmt.Sprintf("at %d: a process that nothing has shown, %d after its start; the registrations are not current", w.now, age)
	case w.lostBorn >= 0 && w.lostBorn >= w.knownBorn:
		return fmt.Sprintf("at %d: a process that nothing has shown, %d after its start; the end of the one before was noticed", w.now, age)
	case age > int((registerWithin+maxGap)/time.Millisecond):
		return fmt.Sprintf("at %d: a process that nothing has shown, %d after its start", w.now, age)
	case w.trusted > 0 && w.now-w.trusted < int(w.trustEvery/time.Millisecond):
		return fmt.Sprintf("at %d: a process that nothing has shown, %d after another request of that kind", w.now, w.now-w.trusted)
	}
	w.trusted = w.now
	return ""
}

// Guards against requests to a process that started after all that the VM knows, without a check.
func TestUncheckedRequestsReachKnownProcesses(t *testing.T) {
	sound := func(t *warmth.Tracker) { t.SetBounds(registerWithin, maxGap) }
	const seeds, steps = 60, 6000
	unchecked, checks := 0, 0
	for seed := range uint64(seeds) {
		w := newWorld(seed, sound)
		w.trustEvery = time.Duration(seed%4) * 500 * time.Millisecond
		for range steps {
			if wrong := w.advance(sound); wrong != "" {
				t.Fatalf("seed %d %s", seed, wrong)
			}
		}
		unchecked, checks = unchecked+w.unchecked, checks+w.checks
	}
	if checks == 0 || unchecked < checks {
		t.Errorf("%d checks for %d requests without one, want few", checks, unchecked)
	}
	for name, bounds := range map[string]func(*warmth.Tracker){
		"upstreams register at once":        func(t *warmth.Tracker) { t.SetBounds(time.Nanosecond, maxGap) },
		"registrations are current forever": func(t *warmth.Tracker) { t.SetBounds(registerWithin, time.Hour) },
	} {
		found := false
		for seed := uint64(0); seed < seeds && !found; seed++ {
			w := newWorld(seed, bounds)
			for i := 0; i < steps && !found; i++ {
				found = w.advance(bounds) != ""
			}
		}
		if !found {
			t.Errorf("the mutation was not found: %s", name)
		}
	}
}
