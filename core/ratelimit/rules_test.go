package ratelimit_test

import (
	"testing"
	"time"

	"auburnlatch/core/team"
)

// Guards against requests under one limit that decide under another: windows that begin with the new
// limit must keep it, and a window later as many requests be admitted as without a change.
func TestLimitsFollowTheRules(t *testing.T) {
	const settled = 10 * time.Second
	limited := func(rate float64) *team.Team { return &team.Team{Name: "t", RatePerSecond: rate, Burst: rate} }
	none := limited(0)
	// play returns the requests that upstreams get from the last change on, and the largest number in
	// a window of them. Each limit but the last is in force for four seconds.
	play := func(seed uint64, limits ...*team.Team) (late, most int) {
		f := newFleet(seed, limits[0])
		f.spreadDemand(900, usedVMs)
		for _, l := range limits[:len(limits)-1] {
			f.team = l
			f.run(4 * time.Second)
		}
		f.team, f.sent = limits[len(limits)-1], nil
		f.run(bounds.Window)
		changed := len(f.sent)
		f.run(settled)
		return len(f.sent) - changed, f.maxPerWindow(time.Time{})
	}
	for _, tc := range []struct {
		name   string
		limits []*team.Team
	}{
		{"lowered", []*team.Team{limited(600), limited(100)}},
		{"raised", []*team.Team{limited(60), limited(600)}},
		{"had none", []*team.Team{none, limited(200)}},
		{"removed and back", []*team.Team{limited(200), none, limited(200)}},
		{"in series", []*team.Team{limited(600), limited(50), none, limited(400), limited(150)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			last := tc.limits[len(tc.limits)-1]
			got, usual := 0, 0
			for seed := range uint64(10) {
				late, most := play(seed, tc.limits...)
				if limit := windowLimit(last); most > limit {
					t.Errorf("seed %d: %d requests in a window from the change on, limit %d", seed, most, limit)
				}
				got += late
				late, _ = play(seed, last, last)
				usual += late
			}
			if float64(got) < 0.95*float64(usual) {
				t.Errorf("%d requests were admitted a window after the change, %d without one", got, usual)
			}
		})
	}
}
