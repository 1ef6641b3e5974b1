package overdue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/internal/eventqueue"
	"auburnlatch/core/overdue"
)

// fleet is a service under load: VMs that send look-ups to upstreams, of which each object has a
// first and a second one. Some responses are lost.
type fleet struct {
	vms, upstreams int
	perSecond      float64
	// burst is the factor of the load from the tenth to the twentieth second.
	burst  float64
	lost   float64 // Fraction of the responses.
	policy policy

	rnd    *rand.Rand
	events eventqueue.Queue
	hosts  []*host
	senders
	result result
}

const (
	slots     = 9
	queue     = 18
	objects   = 300
	warmWork  = 300 * time.Millisecond
	newWork   = time.Second
	objective = time.Second
	timeout   = 2 * time.Second
	length    = 30 * time.Second
	// warmUp is the time in which VMs learn the usual response times; it is not counted.
	warmUp  = 10 * time.Second
	service = "look-ups"
)

// policy says which overdue requests are sent twice.
type policy int

const (
	never policy = iota
	whenOverdue
	// evenIfShort ignores how busy the service is.
	evenIfShort
	// known sends exactly the requests whose first response will be lost to the second upstream
	// at once: the bound.
	known
)

// senders are the VMs' estimators and retry budgets.
type senders struct {
	estimators []overdue.Estimator
	budgets    []balance.RetryBudget
}

type host struct {
	running int
	queue   []func(time.Time)
	has     map[int]bool
}

type result struct{ asked, inTime, late, sentTwice int }

func (r result) share(n int) float64 { return float64(n) / float64(max(1, r.asked)) }

func (f *fleet) run(seed uint64) result {
	f.rnd = rand.New(rand.NewPCG(seed, 7))
	f.estimators, f.budgets = make([]overdue.Estimator, f.vms), make([]balance.RetryBudget, f.vms)
	for i := range f.budgets {
		f.budgets[i].SetBounds(0.2, 10*time.Second, 0)
		f.budgets[i].SetVMs(f.vms)
	}
	for range f.upstreams {
		f.hosts = append(f.hosts, &host{has: map[int]bool{}})
	}
	for now := start; now.Before(start.Add(length)); {
		perSecond := f.perSecond
		if since := now.Sub(start); since > 10*time.Second && since < 20*time.Second {
			perSecond *= f.burst
		}
		now = now.Add(time.Duration(f.rnd.ExpFloat64() / perSecond * float64(time.Second)))
		l := &lookup{fleet: f, vm: f.rnd.IntN(f.vms), object: f.rnd.IntN(objects), made: now}
		f.events.Add(now, l.send)
	}
	f.events.RunAll()
	return f.result
}

// utilization is the number of requests for each slot.
func (f *fleet) utilization() float64 {
	n := 0
	for _, h := range f.hosts {
		n += h.running + len(h.queue)
	}
	return float64(n) / float64(slots*len(f.hosts))
}

// lookup is one request.
type lookup struct {
	*fleet
	vm, object int
	made       time.Time
	answered   bool
}

func (l *lookup) send(now time.Time) {
	l.count(&l.result.asked)
	first := l.object % len(l.hosts)
	warm := l.hosts[first].has[l.object]
	lost := l.rnd.Float64() < l.lost
	l.budgets[l.vm].Request(now, service)
	l.sendTo(now, first, lost)
	if l.policy == never {
		return
	}
	if l.policy == known {
		if lost {
			l.sendSecond(now)
		}
		return
	}
	if at, ok := l.estimators[l.vm].Due(now, l.request(warm)); ok {
		l.events.Add(at, l.overdue)
	}
	l.events.Add(now.Add(timeout), func(now time.Time) {
		if !l.answered {
			l.estimators[l.vm].Observe(now, overdue.Class{Service: service, Warm: warm}, timeout)
		}
	})
}

func (l *lookup) count(n *int) {
	if l.made.Sub(start) >= warmUp {
		*n++
	}
}

func (l *lookup) request(warm bool) overdue.Request {
	r := overdue.Request{Class: overdue.Class{Service: service, Warm: warm}, Idempotent: true, Sent: 1, Attempts: 2, Deadline: l.made.Add(timeout), Utilization: l.utilization()}
	if l.policy == evenIfShort {
		r.Utilization = 0
	}
	return r
}

func (l *lookup) overdue(now time.Time) {
	if !l.answered && overdue.Allowed(l.request(true)) && l.budgets[l.vm].Spare(now, service) {
		l.sendSecond(now)
	}
}

func (l *lookup) sendSecond(now time.Time) {
	l.count(&l.result.sentTwice)
	l.sendTo(now, (l.object+1)%len(l.hosts), l.rnd.Float64() < l.lost)
}

func (l *lookup) sendTo(now time.Time, target int, lost bool) {
	h := l.hosts[target]
	sent := now
	start := func(now time.Time) {
		h.running++
		work, warm := newWork, h.has[l.object]
		if warm {
			work = warmWork
		}
		h.has[l.object] = true
		work = time.Duration(float64(work) * (0.85 + 0.3*l.rnd.Float64()))
		l.events.Add(now.Add(work), func(now time.Time) {
			if !lost {
				l.receive(now, now.Sub(sent), warm)
			}
			h.running--
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next(now)
			}
		})
	}
	switch {
	case h.running < slots:
		start(now)
	case len(h.queue) < queue:
		h.queue = append(h.queue, start)
	}
}

func (l *lookup) receive(now time.Time, took time.Duration, warm bool) {
	l.estimators[l.vm].Observe(now, overdue.Class{Service: service, Warm: warm}, took)
	if l.answered || now.Sub(l.made) > timeout {
		return
	}
	l.answered = true
	if now.Sub(l.made) <= objective {
		l.count(&l.result.inTime)
	} else {
		l.count(&l.result.late)
	}
}

// Guards against lost responses that nobody asks for again.
func TestLostResponsesAreAskedForAgain(t *testing.T) {
	for _, vms := range []int{10, 60, 125} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			play := func(p policy) result {
				f := fleet{vms: vms, upstreams: 60, perSecond: 700, burst: 1, lost: 0.04, policy: p}
				return f.run(1)
			}
			without, with, bound := play(never), play(whenOverdue), play(known)
			for _, r := range []struct {
				name string
				result
			}{{"without", without}, {"overdue", with}, {"known", bound}} {
				t.Logf("%s: in time %.3f, late %.3f, unanswered %.3f, sent twice %.3f", r.name,
					r.share(r.inTime), r.share(r.late), 1-r.share(r.inTime+r.late), r.share(r.sentTwice))
			}
			lost := func(r result) float64 { return 1 - r.share(r.inTime+r.late) }
			if lost(with) > (lost(without)+lost(bound))/2 {
				t.Errorf("unanswered %.3f, without second sends %.3f, by perfect knowledge %.3f: want at most the middle", lost(with), lost(without), lost(bound))
			}
			if got := with.share(with.inTime); got < without.share(without.inTime) {
				t.Errorf("in time %.3f, without second sends %.3f", got, without.share(without.inTime))
			}
			if got := with.share(with.sentTwice); got > 0.1 {
				t.Errorf("sent twice: %.3f, more than half of the retry budget", got)
			}
		})
	}
}

// Guards against second sends that take the slots of first ones.
func TestOverloadIsNotFed(t *testing.T) {
	play := func(p policy) result {
		const upstreams = 20
		f := fleet{vms: 12, upstreams: upstreams, perSecond: 0.65 * upstreams * slots / warmWork.Seconds(), burst: 2, lost: 0.04, policy: p}
		return f.run(2)
	}
	without, with, all := play(never), play(whenOverdue), play(evenIfShort)
	served := func(r result) float64 { return r.share(r.inTime + r.late) }
	t.Logf("served without %.4f, with %.4f (sent twice %.4f), even if short %.4f (sent twice %.4f)",
		served(without), served(with), with.share(with.sentTwice), served(all), all.share(all.sentTwice))
	t.Logf("in time without %.4f, with %.4f, even if short %.4f", without.share(without.inTime), with.share(with.inTime), all.share(all.inTime))
	if served(with) < served(all) || with.share(with.inTime) < all.share(all.inTime) {
		t.Errorf("served %.4f, %.4f with second sends even if short of slots", served(with), served(all))
	}
	if all.sentTwice <= with.sentTwice {
		t.Errorf("the load does not show what the utilization guards against: %d sent twice, %d with it", all.sentTwice, with.sentTwice)
	}
}
