package throttle_test

import (
	"math"
	"testing"
	"time"

	"auburnlatch/core/throttle"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func named(perSecond float64) throttle.Notice {
	return throttle.Notice{Kind: throttle.Named, PerSecond: perSecond}
}

func TestAnswered(t *testing.T) {
	var l throttle.Limit
	for _, step := range []struct {
		name      string
		sent, now int
		notice    throttle.Notice
		changed   bool
		limited   bool
		perSecond float64
	}{
		{"no limit", 0, 10, throttle.Notice{}, false, false, 0},
		{"unreadable, no limit in force", 10, 20, throttle.Notice{Kind: throttle.Unreadable}, false, false, 0},
		{"limited", 20, 100, named(7.5), true, true, 7.5},
		{"no limit, sent before the limit was received", 30, 110, throttle.Notice{}, false, true, 7.5},
		{"same limit again", 40, 120, named(7.5), false, true, 7.5},
		{"unreadable", 130, 140, throttle.Notice{Kind: throttle.Unreadable}, false, true, 7.5},
		{"lowered", 140, 150, named(2), true, true, 2},
		{"lifted", 160, 200, throttle.Notice{}, true, false, 0},
		{"limited once more", 210, 220, named(1), true, true, 1},
	} {
		changed := l.Answered(at(step.now), at(step.sent), step.notice)
		perSecond, limited := l.PerSecond()
		if changed != step.changed || limited != step.limited || perSecond != step.perSecond {
			t.Fatalf("%s: changed %v, limit %v %v", step.name, changed, limited, perSecond)
		}
	}
}

func TestReady(t *testing.T) {
	var unlimited throttle.Limit
	if !unlimited.Take(at(0), throttle.Place{}) {
		t.Error("without a limit, a VM that knows no others may not send")
	}
	for _, c := range []struct {
		name      string
		perSecond float64
		place     throttle.Place
		after     int
		want      bool
	}{
		{"only VM, part of a token", 2, throttle.Place{VMs: 1}, 100, false},
		{"only VM", 2, throttle.Place{VMs: 1}, 600, true},
		{"just started", 2, throttle.Place{}, 5000, false},
		{"first of many", 2, throttle.Place{VMs: 100}, 3000, true},
		{"last of many", 2, throttle.Place{Rank: 99, VMs: 100}, 9000, false},
		{"limit of zero", 0, throttle.Place{VMs: 2}, 9000, false},
		{"limit of zero, after 1/minRate", 0, throttle.Place{VMs: 2}, 10_000, true},
		{"additional sender after silence", 2, throttle.Place{Rank: 5, VMs: 100}, 18_500, true},
	} {
		var l throttle.Limit
		l.Answered(at(0), at(0), named(c.perSecond))
		if got := l.Ready(at(c.after), c.place); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestMerge(t *testing.T) {
	limited := func(perSecond float64, age int) throttle.Report {
		return throttle.Report{Limited: true, PerSecond: perSecond, Age: time.Duration(age) * time.Millisecond}
	}
	lifted := func(age int) throttle.Report { return throttle.Report{Age: time.Duration(age) * time.Millisecond} }
	for _, c := range []struct {
		name    string
		own     throttle.Notice // Received at 0.
		report  throttle.Report // Received at 1 s.
		limited bool
	}{
		{"limited", throttle.Notice{}, limited(2, 100), true},
		{"not a number", throttle.Notice{}, limited(math.NaN(), 100), false},
		{"negative", throttle.Notice{}, limited(-1, 100), false},
		{"lifted, newer than the own notice", named(2), lifted(100), false},
		{"lifted, newer than the own notice by less than relayMargin", named(2), lifted(600), true},
		{"lifted, older than the own notice", named(2), lifted(2000), true},
	} {
		var l throttle.Limit
		l.Answered(at(0), at(0), c.own)
		l.Merge(at(1000), c.report)
		if _, got := l.PerSecond(); got != c.limited {
			t.Errorf("%s: limited %v, want %v", c.name, got, c.limited)
		}
	}
}

// A limit is reported with its age while it is in force, and its end for liftedTTL.
func TestReport(t *testing.T) {
	var l throttle.Limit
	if r, ok := l.Report(at(0)); ok {
		t.Errorf("no notice received: %+v", r)
	}
	l.Answered(at(0), at(0), named(2))
	if r, ok := l.Report(at(1000)); !ok || r != (throttle.Report{Limited: true, PerSecond: 2, Age: time.Second}) {
		t.Errorf("limited: %+v %v", r, ok)
	}
	l.Answered(at(2000), at(1500), throttle.Notice{})
	if r, ok := l.Report(at(3000)); !ok || r != (throttle.Report{Age: time.Second}) {
		t.Errorf("lifted: %+v %v", r, ok)
	}
	if r, ok := l.Report(at(60_000)); ok {
		t.Errorf("lifted 58 s ago: %+v", r)
	}
}

// Guards against a limit of which each process that starts takes a part at once.
func TestStartsTakeNoTokens(t *testing.T) {
	const perSecond, life = 5, 300 * time.Millisecond
	place := throttle.Place{VMs: 10}
	sent := 0
	var l throttle.Limit
	for age := time.Duration(0); age < 20*time.Second; age += 10 * time.Millisecond {
		now := start.Add(age)
		if age%life == 0 {
			l = throttle.Limit{}
			l.Answered(now, now, named(perSecond))
		}
		if l.Take(now, place) {
			sent++
		}
	}
	if most := perSecond * 20; sent > most {
		t.Errorf("%d requests in 20 s of a process that starts again and again, want at most %d", sent, most)
	}
}
