package model

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/internal/eventqueue"
)

// Start is the time at which every simulation starts.
var Start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// workJitter is the maximum deviation of a request's work from the average, as a
// fraction of it.
const workJitter = 0.15

// Second counts the requests that were made in one second by their outcome.
type Second struct {
	// Asked is the number of requests. InTime of them were answered within the objective,
	// Late of them later but within the deadline.
	Asked, InTime, Late, Refused int
	// Hits is the number that ran on a target that had their object cached.
	Hits int
}

// Result is the outcome of a simulation by seconds.
type Result struct {
	Seconds []Second
	// Classes has the seconds of each class.
	Classes [][]Second
}

// Class returns the result of one class.
func (r Result) Class(i int) Result { return Result{Seconds: r.Classes[i]} }

// Served returns the fraction of the requests made in the seconds [from, to) that was answered.
func (r Result) Served(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.InTime+s.Late) / max(1, float64(s.Asked))
}

// sum returns the sum of the seconds in [from, to).
func (r Result) sum(from, to int) (sum Second) {
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		sum.Asked += s.Asked
		sum.InTime += s.InTime
		sum.Late += s.Late
		sum.Refused += s.Refused
		sum.Hits += s.Hits
	}
	return sum
}

// InTime returns the fraction of the requests made in the seconds [from, to) that was
// answered within the objective.
func (r Result) InTime(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.InTime) / max(1, float64(s.Asked))
}

// HitRate returns the fraction of the requests made in the seconds [from, to) that ran
// on a target that had the object cached.
func (r Result) HitRate(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.Hits) / max(1, float64(s.Asked))
}

// Refused returns the fraction of the requests made in the seconds [from, to) that was
// refused.
func (r Result) Refused(from, to int) float64 {
	s := r.sum(from, to)
	return float64(s.Refused) / max(1, float64(s.Asked))
}

// request is a request in flight.
type request struct {
	key   string
	vm    int
	class int
	made  time.Time
	lease balance.Lease
}

// upstream is one target with its LRU cache of objects.
type upstream struct {
	running int
	queue   []*request
	cached  map[string]*list.Element
	lru     *list.List
	noise   *noise
}

// access reports whether the object is cached, and caches it. Beyond the given size
// it evicts the least recently used object.
func (u *upstream) access(key string, size int) bool {
	if e := u.cached[key]; e != nil {
		u.lru.MoveToFront(e)
		return true
	}
	u.cached[key] = u.lru.PushFront(key)
	if u.lru.Len() > size {
		last := u.lru.Back()
		delete(u.cached, u.lru.Remove(last).(string))
	}
	return false
}

// busy returns the number of running and queued requests.
func (u *upstream) busy() int { return u.running + len(u.queue) }

// simulation is the state of one simulation.
type simulation struct {
	shape     Shape
	policy    Policy
	rnd       *rand.Rand
	events    eventqueue.Queue
	upstreams []*upstream
	seconds   []Second
	classes   [][]Second
	now       time.Time // Of the last choice or response.
}

// Simulate simulates phases with a policy. The same arguments give the same result.
func Simulate(shape Shape, p Policy, seed uint64, phases []Phase) Result {
	sim := &simulation{shape: shape, policy: p, rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range shape.Targets {
		sim.upstreams = append(sim.upstreams, &upstream{cached: map[string]*list.Element{}, lru: list.New(), noise: newNoise(&sim.shape, seed, uint64(i))})
	}
	end := sim.schedule(phases)
	n := int(end.Sub(Start)/time.Second) + 1
	sim.seconds = make([]Second, n)
	for range shape.Classes {
		sim.classes = append(sim.classes, make([]Second, n))
	}
	sim.events.RunAll()
	return Result{Seconds: sim.seconds, Classes: sim.classes}
}

// schedule adds the events of all phases and returns when the last phase ends.
func (sim *simulation) schedule(phases []Phase) time.Time {
	now := Start
	for _, ph := range phases {
		end := now.Add(ph.Length)
		sim.events.Add(now, func(time.Time) { sim.policy.Targets(ph.Down) })
		for now.Before(end) {
			now = now.Add(time.Duration(sim.rnd.ExpFloat64() / ph.PerSecond * float64(time.Second)))
			r := &request{key: fmt.Sprint("object", sim.rnd.IntN(sim.shape.Objects)), made: now}
			r.vm = sim.vmFor(r.key)
			if len(ph.Mix) > 0 {
				r.class = ph.class(sim.rnd.Float64())
			}
			sim.events.Add(now, func(now time.Time) { sim.arrive(now, r) })
		}
	}
	return now
}

// vmFor returns a random VM of the object's region.
func (sim *simulation) vmFor(key string) int {
	var object int
	// The key was made by schedule.
	_, _ = fmt.Sscanf(key, "object%d", &object)
	perRegion := sim.shape.VMs / sim.shape.Regions
	return sim.rnd.IntN(perRegion)*sim.shape.Regions + object%sim.shape.Regions
}

// count adds to the counts of the second in which the request was made.
func (sim *simulation) count(r *request, add func(*Second)) {
	i := r.made.Sub(Start) / time.Second
	add(&sim.seconds[i])
	if len(sim.classes) > 0 {
		add(&sim.classes[r.class][i])
	}
}

// class returns the class of a request.
func (s Shape) class(r *request) Class {
	if len(s.Classes) == 0 {
		return Class{WorkMiss: s.WorkMiss, WorkHit: s.WorkHit, Objective: s.Objective}
	}
	return s.Classes[r.class]
}

// arrive is the arrival of a request at its VM, which chooses a target.
func (sim *simulation) arrive(now time.Time, r *request) {
	sim.count(r, func(s *Second) { s.Asked++ })
	sim.now = now
	i, lease := sim.choose(now, r)
	if i < 0 {
		sim.count(r, func(s *Second) { s.Refused++ })
		return
	}
	r.lease = lease
	sim.events.Add(now.Add(sim.rtt(r.vm, i)/2), func(now time.Time) { sim.receive(now, r, i) })
}

func (sim *simulation) choose(now time.Time, r *request) (int, balance.Lease) {
	if p, ok := sim.policy.(ClassPolicy); ok {
		return p.ChooseClass(now, r.vm, r.class, r.key, sim)
	}
	return sim.policy.Choose(now, r.vm, r.key, sim)
}

// rtt returns the round-trip time between a VM and a target.
func (sim *simulation) rtt(vm, i int) time.Duration {
	if vm%sim.shape.Regions == i%sim.shape.Regions {
		return 0
	}
	return sim.shape.CrossRegionRTT
}

// receive is the arrival of a request at a target, which runs, queues or refuses it.
func (sim *simulation) receive(now time.Time, r *request, i int) {
	u := sim.upstreams[i]
	switch {
	case u.running < sim.shape.Slots:
		sim.startWork(now, r, i)
	case len(u.queue) < sim.shape.Queue:
		u.queue = append(u.queue, r)
	default:
		sim.respond(now, r, i, true)
	}
}

func (sim *simulation) startWork(now time.Time, r *request, i int) {
	u := sim.upstreams[i]
	u.running++
	class := sim.shape.class(r)
	work := class.WorkMiss
	if u.access(r.key, sim.shape.CacheSize) {
		work = class.WorkHit
		sim.count(r, func(s *Second) { s.Hits++ })
	}
	work = time.Duration(float64(work) * (1 - workJitter + 2*workJitter*sim.rnd.Float64()))
	sim.events.Add(u.noise.finish(now, work), func(now time.Time) { sim.finishWork(now, r, i) })
}

func (sim *simulation) finishWork(now time.Time, r *request, i int) {
	u := sim.upstreams[i]
	u.running--
	sim.respond(now, r, i, false)
	for len(u.queue) > 0 && u.running < sim.shape.Slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if now.Sub(next.made) < sim.shape.Deadline { // Otherwise its caller has canceled.
			sim.startWork(now, next, i)
			continue
		}
		sim.respond(now, next, i, true)
	}
}

// respond sends a response to the VM and the caller.
func (sim *simulation) respond(now time.Time, r *request, i int, refused bool) {
	sim.now = now
	resp := Response{Refused: refused, Busy: sim.upstreams[i].busy(), Pace: sim.Pace(i)}
	sim.events.Add(now.Add(sim.rtt(r.vm, i)/2), func(now time.Time) {
		took := now.Sub(r.made)
		switch {
		case refused:
			sim.count(r, func(s *Second) { s.Refused++ })
		case took <= sim.shape.class(r).Objective:
			sim.count(r, func(s *Second) { s.InTime++ })
		case took <= sim.shape.Deadline:
			sim.count(r, func(s *Second) { s.Late++ })
		}
		if p, ok := sim.policy.(ClassPolicy); ok && !refused {
			p.Answered(now, r.vm, r.class, r.lease, took)
		}
		sim.policy.Done(now, r.vm, r.lease, resp)
	})
}
