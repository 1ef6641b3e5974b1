package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/target"
)

// start is the beginning of each test's time.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

// answering returns a Monitor of a VM whose requests take 100 ms, the last of them until start.
func answering() *Monitor {
	m := &Monitor{}
	for i := range 20 {
		now := at(time.Duration(i-20) * 100 * ms)
		m.Begin(now)
		m.Answered(now.Add(100*ms), 100*ms, i == 0)
		m.End(now.Add(100 * ms))
	}
	return m
}

// Guards against checks, which cost connections, while upstreams respond, and against late ones
// when they do not.
func TestCheckIsDueAfterSilence(t *testing.T) {
	m := answering()
	if _, due := m.CheckDue(at(time.Hour)); due {
		t.Error("a check is due without any request")
	}
	m.Begin(at(0))
	if wait, due := m.CheckDue(at(100 * ms)); due || wait != 300*ms {
		t.Errorf("100 ms after a request: due %v, wait %v, want 300 ms", due, wait)
	}
	if _, due := m.CheckDue(at(400 * ms)); !due {
		t.Error("no check is due after 400 ms of silence")
	}
	m.Begin(at(300 * ms))
	m.Answered(at(450*ms), 100*ms, false)
	m.End(at(450 * ms))
	if wait, due := m.CheckDue(at(500 * ms)); due || wait != 350*ms {
		t.Errorf("50 ms after a response: due %v, wait %v, want 350 ms", due, wait)
	}
}

// Guards against a VM whose callers leave after a short time, so that no single request waits for
// long, and that never checks.
func TestShortRequestsWithoutResponsesLeadToCheck(t *testing.T) {
	m := answering()
	for i := range 5 {
		m.Begin(at(time.Duration(i) * 110 * ms))
		m.End(at(time.Duration(i)*110*ms + 100*ms))
	}
	m.Begin(at(550 * ms))
	if _, due := m.CheckDue(at(550 * ms)); !due {
		t.Error("no check is due after five requests without a response")
	}
}

func TestChecked(t *testing.T) {
	fail := func(n int) func(*Monitor) {
		return func(m *Monitor) {
			for i := range n {
				m.Failed(at(0), fmt.Sprint(i))
			}
		}
	}
	for _, tc := range []struct {
		name    string
		before  func(*Monitor)
		contact Contact
		targets int
		at      time.Duration
		want    Change
	}{
		{"nothing can be reached", fail(2), None, 3, 450 * ms, Lost},
		{"another upstream responds", fail(2), Heard, 3, 450 * ms, Unchanged},
		{"another upstream accepts a connection", fail(2), Open, 3, 450 * ms, Unchanged},
		{"the only upstream has crashed", fail(1), None, 1, 450 * ms, Unchanged},
		{"a response arrives during the check", func(m *Monitor) { m.Answered(at(200*ms), ms, false) }, None, 3, 450 * ms, Unchanged},
		{"old connections go on while new ones fail", func(m *Monitor) { fail(2)(m); m.Answered(at(200*ms), ms, false) }, None, 3, 450 * ms, Lost},
		{"connections are accepted and nothing arrives for 0.5 s", func(*Monitor) {}, Open, 3, 500 * ms, Unchanged},
		{"connections are accepted and nothing arrives for 1.3 s", func(*Monitor) {}, Open, 3, 1300 * ms, Lost},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := answering()
			m.Begin(at(0))
			tc.before(m)
			if got := m.Checked(at(tc.at), at(ms), tc.contact, tc.targets); got != tc.want {
				t.Errorf("Checked = %v, want %v", got, tc.want)
			}
			if m.CutOff() != (tc.want == Lost) {
				t.Errorf("CutOff = %v", m.CutOff())
			}
		})
	}
}

// Guards against a VM that stays cut off when its links are back, and against one that takes
// connections that a proxy accepts for links that are back, as they may be reset later.
func TestRegained(t *testing.T) {
	for _, tc := range []struct {
		name       string
		unanswered bool
		contact    Contact
		want       Change
	}{
		{"still nothing", false, None, Unchanged},
		{"a connection", false, Open, Unchanged},
		{"a response", false, Heard, Regained},
		{"a connection, as before", true, Open, Unchanged},
		{"a response after connections only", true, Heard, Regained},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := answering()
			m.Begin(at(0))
			first := None
			if tc.unanswered {
				first = Open
			}
			if m.Checked(at(2*time.Second), at(ms), first, 3) != Lost {
				t.Fatal("not cut off")
			}
			m.End(at(2 * time.Second))
			if wait, due := m.CheckDue(at(2 * time.Second)); due || wait != recheckPause {
				t.Errorf("next check: due %v, wait %v, want %v", due, wait, recheckPause)
			}
			if got := m.Checked(at(3*time.Second), at(3*time.Second), tc.contact, 2); got != tc.want {
				t.Errorf("Checked = %v, want %v", got, tc.want)
			}
			if !m.Disturbed(at(2500 * ms)) {
				t.Error("a request that was sent while the VM was cut off counts")
			}
			if m.Disturbed(at(3001*ms)) != (tc.want == Unchanged) {
				t.Error("a request that was sent later is not judged by the present state")
			}
		})
	}
}

func targets(zones, perZone int, services ...string) []*target.Target {
	var list []*target.Target
	for z := range zones {
		for i := range perZone {
			list = append(list, &target.Target{
				ID: fmt.Sprint(z, "-", i), Addr: fmt.Sprint(z, "-", i), Zone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/2), Service: services[i%len(services)],
			})
		}
	}
	return list
}

// Guards against dead upstreams that pass for lost links: those of one zone, of one service, and
// those that failed before.
func TestSpread(t *testing.T) {
	all := targets(6, 6, "a", "b", "c")
	for range 100 {
		got := Spread(all, Place{"z3", "r1"}, CheckTargets, func(addr string) bool { return addr[2:] == "0" }, rand.IntN)
		zones, services := make(map[string]int), make(map[string]int)
		for _, g := range got {
			zones[g.Zone]++
			services[g.Service]++
			if g.Addr[2:] == "0" {
				t.Fatalf("%s has failed and is chosen", g.ID)
			}
		}
		if len(got) != CheckTargets || len(zones) != 6 || len(services) != 3 {
			t.Fatalf("%d targets in %d zones of %d services", len(got), len(zones), len(services))
		}
		if got[0].Zone != "z3" || got[1].Zone != "z2" {
			t.Fatalf("first are %s and %s, want those of the own zone and region", got[0].Zone, got[1].Zone)
		}
	}
	if got := Spread(targets(1, 2, "a"), Place{}, CheckTargets, func(string) bool { return true }, rand.IntN); len(got) != 2 {
		t.Errorf("%d of two failed targets are chosen, want both", len(got))
	}
}
