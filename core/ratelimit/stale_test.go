package ratelimit_test

import (
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/core/team"
)

// Guards against a VM that was suspended and admits the part of a team's limit that it had before:
// the callers have gone to other VMs, which admit theirs.
func TestShareFromBeforeSuspensionIsNotUsed(t *testing.T) {
	const vms = 10
	limited := &team.Team{Name: "t", RatePerSecond: 100, Burst: 100}
	now := time.Unix(1_700_000_000, 0)
	var l ratelimit.Limiter
	l.SetBounds(bounds)
	l.SetVMs(vms)
	l.AssumeNoPriorTraffic()
	take := func(now time.Time) (n int) {
		for _, ok := l.Take(now, limited); ok; _, ok = l.Take(now, limited) {
			n++
		}
		return n
	}
	// All of the team's callers use this VM.
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		take(now)
		l.Heard(now, ratelimit.Total{Heard: vms, Demands: l.Demand(now)})
	}
	if part := l.Usage(now, limited).Part; part < 0.5 {
		t.Fatalf("the VM's part is %.2f before the suspension, so that nothing is tested", part)
	}
	atOnce := (100*bounds.Window.Seconds() + 100) * (1 + bounds.Excess) / vms
	if got := take(now.Add(time.Minute)); float64(got) > atOnce {
		t.Errorf("%d requests at once after a minute's suspension, the equal share of a whole window is %.0f", got, atOnce)
	}
}
