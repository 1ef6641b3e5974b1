package model

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/internal/eventqueue"
)

// Start is when every play begins.
var Start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// workSpread is how far a request's work strays from the usual, either way.
const workSpread = 0.15

// Second is what became of the requests that were made in one second.
type Second struct {
	Asked, InAim, Late, Refused int
	// Known is how many were sent to a target that knew their object.
	Known int
}

// Result is a play by seconds.
type Result struct {
	Seconds []Second
}

// sum adds the seconds up from one to before another.
func (r Result) sum(from, to int) (sum Second) {
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		sum.Asked += s.Asked
		sum.InAim += s.InAim
		sum.Late += s.Late
		sum.Refused += s.Refused
		sum.Known += s.Known
	}
	return sum
}

// InAim returns which share of the requests made in those seconds was answered
// within the aim.
func (r Result) InAim(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.InAim) / max(1, float64(s.Asked))
}

// Known returns which share of the requests was sent to a target that knew the
// object.
func (r Result) Known(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.Known) / max(1, float64(s.Asked))
}

// Refused returns which share of the requests was refused.
func (r Result) Refused(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.Refused) / max(1, float64(s.Asked))
}

// request is one on its way.
type request struct {
	key   string
	vm    int
	made  time.Time
	lease balance.Lease
}

// upstream is one target.
type upstream struct {
	running int
	queue   []*request
	known   map[string]*list.Element
	order   *list.List
}

// knows reports whether the object is known, and has it known from now on.
func (u *upstream) knows(key string, keeps int) bool {
	if e := u.known[key]; e != nil {
		u.order.MoveToFront(e)
		return true
	}
	u.known[key] = u.order.PushFront(key)
	if u.order.Len() > keeps {
		last := u.order.Back()
		delete(u.known, u.order.Remove(last).(string))
	}
	return false
}

// busy is how many requests are there, running and waiting.
func (u *upstream) busy() int { return u.running + len(u.queue) }

// game is one play.
type game struct {
	shape     Shape
	policy    Policy
	rnd       *rand.Rand
	events    eventqueue.Queue
	upstreams []*upstream
	seconds   []Second
}

// Play plays phases under a policy. The same arguments give the same result.
func Play(shape Shape, p Policy, seed uint64, phases []Phase) Result {
	g := &game{shape: shape, policy: p, rnd: rand.New(rand.NewPCG(seed, 1))}
	for range shape.Targets {
		g.upstreams = append(g.upstreams, &upstream{known: map[string]*list.Element{}, order: list.New()})
	}
	end := g.schedule(phases)
	g.seconds = make([]Second, int(end.Sub(Start)/time.Second)+1)
	g.events.RunAll()
	return Result{Seconds: g.seconds}
}

// schedule enters all requests and returns when the last phase ends.
func (g *game) schedule(phases []Phase) time.Time {
	now := Start
	for _, ph := range phases {
		end := now.Add(ph.Length)
		g.events.Add(now, func(time.Time) { g.policy.Targets(ph.Down) })
		for now.Before(end) {
			now = now.Add(time.Duration(g.rnd.ExpFloat64() / ph.PerSecond * float64(time.Second)))
			r := &request{key: fmt.Sprint("object", g.rnd.IntN(g.shape.Objects)), made: now}
			r.vm = g.vmFor(r.key)
			g.events.Add(now, func(now time.Time) { g.arrive(now, r) })
		}
	}
	return now
}

// vmFor returns one of the VMs of the object's region.
func (g *game) vmFor(key string) int {
	var object int
	// The key was made by schedule.
	_, _ = fmt.Sscanf(key, "object%d", &object)
	perRegion := g.shape.VMs / g.shape.Regions
	return g.rnd.IntN(perRegion)*g.shape.Regions + object%g.shape.Regions
}

// second counts by when the request was made.
func (g *game) second(r *request) *Second { return &g.seconds[r.made.Sub(Start)/time.Second] }

// arrive has a VM choose a target.
func (g *game) arrive(now time.Time, r *request) {
	g.second(r).Asked++
	i, lease := g.policy.Choose(now, r.vm, r.key, g)
	if i < 0 {
		g.second(r).Refused++
		return
	}
	r.lease = lease
	g.events.Add(now.Add(g.trip(r.vm, i)/2), func(now time.Time) { g.reach(now, r, i) })
}

// trip is the round trip between a VM and a target.
func (g *game) trip(vm, i int) time.Duration {
	if vm%g.shape.Regions == i%g.shape.Regions {
		return 0
	}
	return g.shape.FarTrip
}

// reach has a target run a request, queue it or refuse it.
func (g *game) reach(now time.Time, r *request, i int) {
	u := g.upstreams[i]
	switch {
	case u.running < g.shape.Slots:
		g.begin(now, r, i)
	case len(u.queue) < g.shape.Queue:
		u.queue = append(u.queue, r)
	default:
		g.back(now, r, i, true)
	}
}

func (g *game) begin(now time.Time, r *request, i int) {
	u := g.upstreams[i]
	u.running++
	work := g.shape.WorkNew
	if u.knows(r.key, g.shape.Knows) {
		work = g.shape.WorkKnown
		g.second(r).Known++
	}
	work = time.Duration(float64(work) * (1 - workSpread + 2*workSpread*g.rnd.Float64()))
	g.events.Add(now.Add(work), func(now time.Time) { g.finish(now, r, i) })
}

func (g *game) finish(now time.Time, r *request, i int) {
	u := g.upstreams[i]
	u.running--
	g.back(now, r, i, false)
	for len(u.queue) > 0 && u.running < g.shape.Slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if now.Sub(next.made) < g.shape.Deadline { // Else its caller has left.
			g.begin(now, next, i)
			continue
		}
		g.back(now, next, i, true)
	}
}

// back takes an answer to the VM and the caller.
func (g *game) back(now time.Time, r *request, i int, refused bool) {
	busy := g.upstreams[i].busy()
	g.events.Add(now.Add(g.trip(r.vm, i)/2), func(now time.Time) {
		took := now.Sub(r.made)
		switch {
		case refused:
			g.second(r).Refused++
		case took <= g.shape.Aim:
			g.second(r).InAim++
		case took <= g.shape.Deadline:
			g.second(r).Late++
		}
		g.policy.Done(now, r.vm, r.lease, busy)
	})
}
