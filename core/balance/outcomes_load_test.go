package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/internal/eventqueue"
)

// outage is a load under which the first Silent of a service's targets answer nothing from 5 s to
// 14 s. Each VM sends each target one request a second, of which six in ten are idempotent.
type outage struct {
	vms, targets, silent int
	// shared tells what failed to the other VMs each 200 ms, with the given delay, of which a
	// share is lost. deaf VMs are told nothing, and liars tell that all targets fail.
	shared      bool
	delay       time.Duration
	lost        float64
	deaf, liars int
}

const (
	outageFrom = 5 * time.Second
	outageTo   = 14 * time.Second
	timeLimit  = 2 * time.Second
	usualTime  = 330 * time.Millisecond
)

// outageResult counts requests by the second in which they were sent.
type outageResult struct {
	failed [18]int
	// used is the number of requests that targets which had been silent were sent.
	used [18]int
}

// during returns the sum of the seconds of the outage.
func (r outageResult) during() (n int) {
	for _, x := range r.failed[5:14] {
		n += x
	}
	return n
}

// outagePlay is one play of an outage.
type outagePlay struct {
	outage
	rnd    *rand.Rand
	events eventqueue.Queue
	vms    []*balance.Balancer
	result outageResult
}

func (o outage) play() outageResult {
	p := &outagePlay{outage: o, rnd: rand.New(rand.NewPCG(1, 1))}
	targets := newTargets(9, map[string]int{"north": o.targets})
	for i := range o.vms {
		b := balance.New(fmt.Sprint("vm", i), "north", "north-0")
		b.SetTargets(targets)
		b.SetSynced()
		if o.shared {
			b.SetSharing(always)
		}
		p.vms = append(p.vms, b)
	}
	for i := range p.vms {
		p.events.Add(start, func(now time.Time) { p.arrive(now, i) })
		if o.shared {
			p.events.Add(start.Add(time.Duration(p.rnd.IntN(200))*time.Millisecond), func(now time.Time) { p.tell(now, i) })
		}
	}
	p.events.Run(start.Add(17 * time.Second))
	return p.result
}

func (p *outagePlay) silentTarget(id string) bool {
	var i int
	// The ID was made by newTargets.
	_, _ = fmt.Sscanf(id, "north-%d", &i)
	return i < p.silent
}

// arrive sends one request and schedules the next one.
func (p *outagePlay) arrive(now time.Time, vm int) {
	p.events.Add(now.Add(time.Duration(p.rnd.ExpFloat64()/float64(p.targets)*float64(time.Second))), func(now time.Time) { p.arrive(now, vm) })
	b := p.vms[vm]
	l, err := b.Choose(now, balance.Request{Service: "s", Key: fmt.Sprint(p.rnd.IntN(4 * p.targets)), Idempotent: p.rnd.Float64() < 0.6})
	since, second := now.Sub(start), int(now.Sub(start)/time.Second)
	switch {
	case err != nil:
		p.result.failed[second]++
	case p.silentTarget(l.Target.ID) && since >= outageFrom && since < outageTo:
		p.result.failed[second]++
		p.result.used[second]++
		p.events.Add(now.Add(timeLimit), func(now time.Time) {
			b.Done(now, l, balance.Outcome{Unanswered: true, Expired: true})
		})
	default:
		if p.silentTarget(l.Target.ID) {
			p.result.used[second]++
		}
		took := time.Duration((0.5 + p.rnd.Float64()) * float64(usualTime))
		p.events.Add(now.Add(took), func(now time.Time) {
			b.Done(now, l, balance.Outcome{Answered: true, Load: &balance.Load{Running: 2, Slots: 9, Pace: 1}})
		})
	}
}

// tell tells the other VMs what has failed.
func (p *outagePlay) tell(now time.Time, vm int) {
	p.events.Add(now.Add(200*time.Millisecond), func(now time.Time) { p.tell(now, vm) })
	list := p.vms[vm].Evidence(now, 400*time.Millisecond)
	if vm < p.liars {
		list = nil
		for i := range p.targets {
			list = append(list, balance.Evidence{Target: fmt.Sprint("north-", i), SentAge: time.Second, Age: time.Millisecond})
		}
	}
	for to := range p.vms {
		if to == vm || to >= p.outage.vms-p.deaf || p.rnd.Float64() < p.lost {
			continue
		}
		aged := slices.Clone(list)
		p.events.Add(now.Add(p.delay), func(now time.Time) { p.vms[to].MergeEvidence(now, fmt.Sprint("vm", vm), aged) })
	}
}

// Two fifths of a service's targets answer nothing for nine seconds, and a request to them is lost
// when its time is over. What one VM finds out alone, all must know.
func TestTwoFifthsStopAnswering(t *testing.T) {
	for _, c := range []struct{ vms, targets, silent int }{{4, 20, 8}, {10, 60, 24}, {12, 120, 48}} {
		t.Run(fmt.Sprint(c.vms, "VMs"), func(t *testing.T) {
			t.Parallel()
			o := outage{vms: c.vms, targets: c.targets, silent: c.silent, delay: 60 * time.Millisecond}
			alone := o.play()
			o.shared = true
			told := o.play()
			o.delay, o.lost, o.deaf = 500*time.Millisecond, 0.3, c.vms/3
			late := o.play()
			t.Logf("failed: alone %v, told %v, told late, a third lost and a third of the VMs deaf %v", alone.failed, told.failed, late.failed)
			if told.during() > alone.during()*6/10 {
				t.Errorf("%d requests failed, %d where each VM knows its own failures only", told.during(), alone.during())
			}
			if late.during() > alone.during()*7/10 {
				t.Errorf("told late and of one side: %d requests failed, %d where each VM knows its own failures only", late.during(), alone.during())
			}
			if got, usual := told.used[16], alone.used[4]; got < usual/2 {
				t.Errorf("two seconds after the outage the targets got %d requests, want half of %d", got, usual)
			}
		})
	}
}

// A VM tells that all targets fail, while two fifths do.
func TestLiarTakesNoTargetAway(t *testing.T) {
	o := outage{vms: 4, targets: 20, silent: 8, shared: true, delay: 60 * time.Millisecond}
	honest := o.play()
	o.liars = 1
	lied := o.play()
	for second, used := range lied.used[:5] {
		if used < honest.used[second]*8/10 {
			t.Errorf("second %d, before the outage: the targets got %d requests, %d without the liar", second, used, honest.used[second])
		}
	}
}
