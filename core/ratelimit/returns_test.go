package ratelimit_test

import (
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/core/team"
)

// returning is a fleet whose refused callers come back once, to any VM that the team uses.
type returning struct {
	*fleet
	// appointed: VMs keep tokens for those who come back; otherwise they are told when the
	// bucket has a token, as without appointments.
	appointed bool
	// absent: no caller comes back. lying: all callers claim to have come back.
	absent, lying bool
	due           map[time.Time][]caller
	outcome       returns
}

// caller is a refused caller that comes back.
type caller struct{ kept bool }

// returns counts what became of callers: first tries and returns that were admitted.
type returns struct {
	fresh, freshServed, back, backServed, kept, keptServed int
}

func (o *returns) add(r returns) {
	o.fresh += r.fresh
	o.freshServed += r.freshServed
	o.back += r.back
	o.backServed += r.backServed
	o.kept += r.kept
	o.keptServed += r.keptServed
}

func fraction(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// patience is the longest wait of a caller: a third of three seconds.
const patience = time.Second

// A caller who comes back after a wait between these is recognized as one with an appointment.
const (
	recognized = 400 * time.Millisecond
	latestKept = 600 * time.Millisecond
)

// run advances the simulation by d while the team asks for its demand.
func (r *returning) run(d time.Duration) {
	if r.due == nil {
		r.due = make(map[time.Time][]caller)
	}
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(tick) {
		r.deliver()
		for _, v := range r.vms {
			if v.down {
				continue
			}
			if !r.now.Before(v.nextReport) {
				v.nextReport = r.now.Add(reportInterval)
				r.report(v)
			}
			for n := r.poisson(v.demand * tick.Seconds()); n > 0; n-- {
				r.first(v)
			}
		}
		for _, c := range r.due[r.now] {
			r.back(c)
		}
		delete(r.due, r.now)
	}
}

func (r *returning) first(v *limitedVM) {
	r.outcome.fresh++
	wait, ok := r.take(v, r.lying)
	if ok {
		r.outcome.freshServed++
		return
	}
	kept := false
	if r.appointed {
		if wait, kept = v.limiter.Appoint(r.now, r.team, recognized, latestKept); !kept {
			wait = patience
		}
	}
	if r.absent {
		return
	}
	at := r.now.Add((min(wait, patience) + 60*time.Millisecond).Truncate(tick))
	r.due[at] = append(r.due[at], caller{kept})
}

func (r *returning) back(c caller) {
	sum := 0.0
	for _, v := range r.vms {
		sum += v.demand
	}
	x := r.rng.Float64() * sum
	for _, v := range r.vms {
		if x -= v.demand; x > 0 || v.down {
			continue
		}
		r.outcome.back++
		_, ok := r.take(v, c.kept || r.lying)
		if c.kept {
			r.outcome.kept++
		}
		if ok {
			r.outcome.backServed++
			if c.kept {
				r.outcome.keptServed++
			}
		}
		return
	}
}

func (r *returning) take(v *limitedVM, returned bool) (wait time.Duration, ok bool) {
	if r.appointed {
		ok = v.limiter.TakeKept(r.now, r.team, returned)
	} else {
		wait, ok = v.limiter.Take(r.now, r.team)
	}
	if ok {
		r.sent = append(r.sent, r.now)
	}
	return wait, ok
}

// threeTimes runs a team at three times its limit for ten seconds.
func threeTimes(seed uint64, t team.Team, change func(*returning)) *returning {
	r := &returning{fleet: newFleet(seed, &t)}
	change(r)
	r.spreadDemand(t.RatePerSecond/1.6, 12)
	r.run(5 * time.Second)
	r.spreadDemand(3*t.RatePerSecond, 12)
	r.run(10 * time.Second)
	return r
}

// A team asks for three times its limit, and half of its refused callers were told to come back
// while the limit was still used up. Of those with an appointment, more must be served than
// of all who came back without appointments. The limit must hold, and be used as well.
func TestAppointmentsOverTheLimit(t *testing.T) {
	for _, tm := range teams {
		var before, with returns
		sentBefore, sent := 0, 0
		for seed := range uint64(4) {
			b := threeTimes(seed, tm, func(*returning) {})
			r := threeTimes(seed, tm, func(r *returning) { r.appointed = true })
			if over := r.maxPerWindow(time.Time{}) - windowLimit(&tm); over > 0 {
				t.Errorf("%s, seed %d: %d requests over the limit of a window", tm.Name, seed, over)
			}
			before.add(b.outcome)
			with.add(r.outcome)
			sentBefore, sent = sentBefore+len(b.sent), sent+len(r.sent)
		}
		was, is := fraction(before.backServed, before.back), fraction(with.keptServed, with.kept)
		t.Logf("%s: sent %d, before %d; served of kept appointments %.2f (%d of %d returns), of returns before %.2f", tm.Name, sent, sentBefore, is, with.kept, with.back, was)
		if is < was {
			t.Errorf("%s: %.2f of kept appointments served, without appointments %.2f of returns", tm.Name, is, was)
		}
		if float64(sent) < 0.95*float64(sentBefore) {
			t.Errorf("%s: %d requests sent, without appointments %d", tm.Name, sent, sentBefore)
		}
	}
}

// Callers that are told to come back and never do: a twentieth of the limit may be left unused.
func TestAbsentCallersWasteLittle(t *testing.T) {
	for _, tm := range teams {
		before, sent := 0, 0
		for seed := range uint64(4) {
			before += len(threeTimes(seed, tm, func(r *returning) { r.absent = true }).sent)
			sent += len(threeTimes(seed, tm, func(r *returning) { r.absent, r.appointed = true, true }).sent)
		}
		t.Logf("%s: sent %d, before %d", tm.Name, sent, before)
		if float64(sent) < 0.95*float64(before) {
			t.Errorf("%s: %d requests sent, without appointments %d", tm.Name, sent, before)
		}
	}
}

// All callers claim to have come back: they take no more than the limit, as if none did.
func TestLiarsStayWithinTheLimit(t *testing.T) {
	for _, tm := range teams {
		for _, sc := range scenarios {
			t.Run(tm.Name+", "+sc.name, func(t *testing.T) {
				r := threeTimes(1, tm, func(r *returning) { r.appointed, r.lying = true, true })
				sc.run(r.fleet)
				r.fleet.team = &tm
				if over := r.maxPerWindow(time.Time{}) - windowLimit(&tm); over > 0 {
					t.Errorf("%d requests over the limit of a window", over)
				}
			})
		}
	}
}

// The promises of one VM take at most a quarter of the tokens that it earns.
func TestPromisesOfTokens(t *testing.T) {
	var l ratelimit.Limiter
	tm := &team.Team{Name: "t", RatePerSecond: 40, Burst: 40}
	l.SetBounds(bounds)
	l.SetVMs(1)
	l.AssumeNoPriorTraffic()
	now, kept := time.Unix(1000, 0), 0
	for range 1000 { // 10 s at 100 requests per second.
		now = now.Add(tick)
		if l.TakeKept(now, tm, false) {
			continue
		}
		if _, ok := l.Appoint(now, tm, 0, patience); ok {
			kept++
		}
	}
	if most := 10*1.15*tm.RatePerSecond/4 + 1; kept == 0 || float64(kept) > most {
		t.Errorf("%d tokens promised in 10 s, at most %.0f may be", kept, most)
	}
}
