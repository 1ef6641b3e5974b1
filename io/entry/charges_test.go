package entry

import (
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/core/team"
)

// Guards against a team that reaches its limit early because second sends that did not run stay
// charged to it, or late because both charges of a request are returned.
func TestChargesOfTwoAttempts(t *testing.T) {
	few := &team.Team{Name: "few", RatePerSecond: 1, Burst: 30}
	now := time.Now()
	for _, tc := range []struct {
		name   string
		notRun int // Attempts that do not run.
		want   int // Charges that remain.
	}{{"both run", 0, 2}, {"one does not run", 1, 1}, {"neither runs", 2, 1}} {
		v := &VM{}
		v.limits.SetBounds(ratelimit.Bounds{Window: 5 * time.Second})
		v.limits.SetVMs(1)
		v.limits.AssumeNoPriorTraffic() // So that all of the limit is there.
		a := &attempt{vm: v, req: &request{team: few}, charges: &charges{}}
		left := func() (n int) {
			for _, ok := v.limits.Take(now, few); ok; _, ok = v.limits.Take(now, few) {
				n++
			}
			return n
		}
		all := left()
		for range all {
			v.limits.Return(now, few)
		}
		v.limits.Charge(now, few)
		v.limits.Charge(now, few)
		a.charges.update(a, func(c *charges) { c.second = true })
		for range tc.notRun {
			a.charges.update(a, func(c *charges) { c.notRun = true })
		}
		if got := all - left(); all < 5 || got != tc.want {
			t.Errorf("%s: %d of %d charges remain, want %d", tc.name, got, all, tc.want)
		}
	}
}
