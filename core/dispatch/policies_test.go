package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"auburnlatch/core/inventory"
)

// Parameters of the simulation. Service times are exponentially distributed,
// each request enters at a random VM, and the counts that VMs have of each
// other are as old as their last exchange.
const (
	simTook     = 20 * time.Millisecond  // Mean service time.
	simHop      = 500 * time.Microsecond // From one VM to another.
	simSlots    = 4                      // Of each upstream.
	simStale    = 100 * time.Millisecond // Between exchanges.
	simRequests = 60_000
	simMaxWait  = 10 * time.Second
	simSeed     = 7
)

// event is a function that runs at a simulated time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is one run of one policy.
type simulation struct {
	rnd     *rand.Rand
	queue   events
	waits   *hdrhistogram.Histogram // In microseconds.
	refused int
	over    int // Requests that found all slots of their upstream in use.
	inUse   map[string]int
	served  int
}

func (s *simulation) after(now time.Time, d time.Duration, do func(time.Time)) {
	heap.Push(&s.queue, event{now.Add(d), do})
}

func (s *simulation) serviceTime() time.Duration {
	return time.Duration(s.rnd.ExpFloat64() * float64(simTook))
}

// serve runs a request on an upstream and records its wait, and whether the
// upstream had a free slot.
func (s *simulation) serve(now, arrived time.Time, target string, done func(time.Time, time.Duration)) {
	_ = s.waits.RecordValue(int64(now.Sub(arrived) / time.Microsecond))
	s.served++
	s.inUse[target]++
	if s.inUse[target] > simSlots {
		s.over++
	}
	took := s.serviceTime()
	s.after(now, took, func(now time.Time) {
		s.inUse[target]--
		done(now, took)
	})
}

// policy handles the arrival of a request.
type policy interface {
	arrive(s *simulation, now time.Time)
}

// pools is a policy with real Pools, one for each dispatcher, which share all
// upstreams.
type pools struct {
	list    []*Pool
	vms     int
	forward bool // Offer a request to the other dispatchers before queueing it.
	arrived map[*Ticket]time.Time
	waiting []*Ticket
}

// newPools splits the upstreams between n dispatchers out of vms VMs.
func newPools(vms, upstreams, n int, forward bool) *pools {
	return newPoolsOf(vms, 0, upstreams, n, forward)
}

// newPoolsOf is like newPools, with upstreams numbered from from.
func newPoolsOf(vms, from, upstreams, n int, forward bool) *pools {
	p := &pools{vms: vms, forward: forward, arrived: map[*Ticket]time.Time{}}
	var targets []*inventory.Target
	for i := range upstreams {
		targets = append(targets, &inventory.Target{Name: fmt.Sprint("t", from+i), Service: "istoric", Slots: simSlots})
	}
	for i := range n {
		pool := NewPool("vm")
		s := &service{rules: istoric}
		for _, t := range targets {
			share := Share(t.Name, t.Slots, n, i)
			a := &allocation{target: t, inForce: share, intent: share, state: Up}
			pool.allocations[t.Name] = a
			s.allocations = append(s.allocations, a)
		}
		pool.services["istoric"] = s
		p.list = append(p.list, pool)
	}
	return p
}

func (p *pools) arrive(s *simulation, now time.Time) {
	arrived := now
	vm := s.rnd.IntN(p.vms)
	first := vm
	if vm >= len(p.list) {
		first = s.rnd.IntN(len(p.list))
		now = now.Add(simHop)
	}
	tries := 1
	if p.forward {
		tries = len(p.list)
	}
	for i := range tries {
		pool := p.list[(first+i)%len(p.list)]
		pool.lastTick = now
		if t, ok := pool.Offer(now, "istoric"); ok {
			p.run(s, pool, now.Add(time.Duration(i)*simHop), arrived, t)
			return
		}
	}
	pool := p.list[first]
	t, err := pool.Queue(now, "istoric", now.Add(simMaxWait))
	if err != nil {
		s.refused++
		return
	}
	p.arrived[t] = arrived
	p.waiting = append(p.waiting, t)
	p.runGranted(s, pool, now)
}

func (p *pools) run(s *simulation, pool *Pool, now, arrived time.Time, t *inventory.Target) {
	s.serve(now, arrived, t.Name, func(now time.Time, took time.Duration) {
		pool.lastTick = now
		pool.Done(now, t.Name, Sample{Took: took})
		p.runGranted(s, pool, now)
	})
}

// runGranted runs the waiting requests that have been granted a slot.
func (p *pools) runGranted(s *simulation, pool *Pool, now time.Time) {
	rest := p.waiting[:0]
	for _, t := range p.waiting {
		select {
		case target := <-t.Granted:
			p.run(s, pool, now, p.arrived[t], target)
			delete(p.arrived, t)
		default:
			rest = append(rest, t)
		}
	}
	p.waiting = rest
}

// twoChoices sends each request directly to the less used of two random
// upstreams, by counts that are updated every simStale.
type twoChoices struct {
	upstreams int
	seen      map[string]int
	seenAt    time.Time
}

func (p *twoChoices) arrive(s *simulation, now time.Time) {
	if now.Sub(p.seenAt) >= simStale {
		p.seen, p.seenAt = map[string]int{}, now
		for name, n := range s.inUse {
			p.seen[name] = n
		}
	}
	a, b := fmt.Sprint("t", s.rnd.IntN(p.upstreams)), fmt.Sprint("t", s.rnd.IntN(p.upstreams))
	if p.seen[b] < p.seen[a] {
		a = b
	}
	s.serve(now, now, a, func(time.Time, time.Duration) {})
}

// simulate runs a policy at a load, given as a fraction of the slots.
func simulate(p policy, upstreams int, load float64) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(simSeed, 1)), waits: hdrhistogram.New(1, 60_000_000, 3), inUse: map[string]int{}}
	interval := float64(simTook) / (load * float64(upstreams*simSlots))
	now := start
	for range simRequests {
		now = now.Add(time.Duration(s.rnd.ExpFloat64() * interval))
		heap.Push(&s.queue, event{now, func(now time.Time) { p.arrive(s, now) }})
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		e.do(e.at)
	}
	return s
}

// BenchmarkSlotPolicies simulates ways to share upstreams' slots between VMs,
// with real Pools. Waits are in milliseconds. Ideal has one queue for all
// slots. Dispatchers is the policy of this package. SplitAll gives every VM a
// share of each upstream. OneOwner gives each upstream to one VM. TwoChoices
// limits nothing by slots.
func BenchmarkSlotPolicies(b *testing.B) {
	for _, size := range []struct{ vms, upstreams int }{{2, 3}, {8, 13}, {44, 13}, {44, 40}} {
		n := min(size.vms, max(MinDispatchers, (size.upstreams*simSlots+SlotsPerDispatcher-1)/SlotsPerDispatcher))
		for _, load := range []float64{0.7, 0.9, 1.1} {
			for _, c := range []struct {
				name string
				make func() policy
			}{
				{"Ideal", func() policy { return newPools(1, size.upstreams, 1, false) }},
				{"Dispatchers", func() policy { return newPools(size.vms, size.upstreams, n, true) }},
				{"SplitAll", func() policy { return newPools(size.vms, size.upstreams, size.vms, false) }},
				{"OneOwner", func() policy { return newOwners(size.upstreams) }},
				{"TwoChoices", func() policy { return &twoChoices{upstreams: size.upstreams} }},
			} {
				b.Run(fmt.Sprintf("VMs=%d/Upstreams=%d/Load=%.1f/%s", size.vms, size.upstreams, load, c.name), func(b *testing.B) {
					var s *simulation
					for b.Loop() {
						s = simulate(c.make(), size.upstreams, load)
					}
					b.ReportMetric(s.waits.Mean()/1000, "ms-mean")
					b.ReportMetric(float64(s.waits.ValueAtQuantile(99))/1000, "ms-p99")
					b.ReportMetric(100*float64(s.over)/float64(s.served), "%over")
					b.ReportMetric(100*float64(s.refused)/simRequests, "%refused")
				})
			}
		}
	}
}

// owners is a policy with a Pool for each upstream, which gets requests at
// random.
type owners struct{ each []*pools }

func newOwners(upstreams int) *owners {
	o := &owners{}
	for i := range upstreams {
		o.each = append(o.each, newPoolsOf(1, i, 1, 1, false))
	}
	return o
}

func (o *owners) arrive(s *simulation, now time.Time) {
	o.each[s.rnd.IntN(len(o.each))].arrive(s, now)
}
