package appointment_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/appointment"
)

// The service under test: upstreams have 200 slots together, a request takes 600 ms, and
// callers have 3 s and one retry.
const (
	slots       = 200
	work        = 600 * time.Millisecond
	callerTime  = 3 * time.Second
	fixedWait   = 250 * time.Millisecond
	newDepth    = 2.0 // Requests for each slot up to which new ones are admitted.
	returnDepth = 2.2 // The same for those that have come back: they go first.
	capacity    = float64(slots) / 0.6
)

// policy decides when a refused caller comes back.
type policy func(now time.Time, vm *vm, left time.Duration) (wait time.Duration)

func fixed(time.Time, *vm, time.Duration) time.Duration { return fixedWait }

func ignored(time.Time, *vm, time.Duration) time.Duration { return 50 * time.Millisecond }

func appointed(now time.Time, v *vm, left time.Duration) time.Duration {
	latest := appointment.Latest(left, v.seen.Usual())
	wait, ok := v.book.Next(now, appointment.Room{From: now.Add(v.seen.Earliest(left)), PerSecond: v.served.PerSecond(now)}, latest)
	if !ok {
		wait = v.book.Last(now, 0, latest)
	}
	return wait
}

type vm struct {
	book   appointment.Book
	seen   appointment.Recognizer
	served appointment.Meter
}

// arrival is one try of a caller. liar says that it claims to have come back.
type arrival struct {
	at, deadline time.Time
	again, liar  bool
	rushed       bool // It came back earlier than it was told.
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// phase is a time of constant demand, relative to the capacity.
type phase struct {
	length time.Duration
	demand float64
}

// tally counts the returns of some callers.
type tally struct{ returns, served int }

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.returns)) }

// outcome is what became of the callers.
type outcome struct {
	callers, refused int // refused counts callers that were refused twice.
	served           int
	liarsServed      int
	liars            int
	// bound is how many would be refused with perfect knowledge.
	bound int
	// busiest is the largest number of returns in 100 ms.
	busiest int
}

// load is a service whose VMs refuse what finds no room.
type load struct {
	rng    *rand.Rand
	vms    []*vm
	policy policy
	// slots is the number of slots at a moment.
	slots func(sinceStart time.Duration) int
	// event is called each 10 ms.
	event func(l *load, sinceStart time.Duration)
	// tally counts returns by whether they were rushed; nil: it is not kept.
	tally map[bool]*tally
	// liars is the fraction of callers that claim to have come back.
	liars float64
}

func newLoad(vms int, p policy) *load {
	l := &load{rng: rand.New(rand.NewPCG(1, uint64(vms))), policy: p, slots: func(time.Duration) int { return slots }}
	for range vms {
		l.vms = append(l.vms, &vm{})
	}
	return l
}

func (l *load) run(phases ...phase) outcome {
	start := time.Unix(1000, 0)
	queue := l.newCallers(start, phases)
	o := outcome{callers: len(queue), bound: bound(start, queue, phases)}
	var ends []time.Time // Of admitted requests, in order.
	var bucket int64
	inBucket := 0
	for tick := start; queue.Len() > 0; {
		a := heap.Pop(&queue).(arrival)
		for l.event != nil && tick.Before(a.at) {
			l.event(l, tick.Sub(start))
			tick = tick.Add(10 * time.Millisecond)
		}
		for len(ends) > 0 && !ends[0].After(a.at) {
			ends = ends[1:]
		}
		if a.again {
			if n := a.at.UnixMilli() / 100; n != bucket {
				bucket, inBucket = n, 0
			}
			inBucket++
			o.busiest = max(o.busiest, inBucket)
		}
		if a.liar && !a.again {
			o.liars++
		}
		v := l.vms[l.rng.IntN(len(l.vms))]
		left := a.deadline.Sub(a.at)
		if a.liar {
			left /= 2
		}
		depth := newDepth
		if v.seen.Returned(a.at, left) {
			depth = returnDepth
		}
		n := l.slots(a.at.Sub(start))
		if float64(len(ends)) < depth*float64(n) {
			end := a.at.Add(work)
			if len(ends) >= n {
				end = ends[len(ends)-n].Add(work)
			}
			ends = append(ends, end)
			v.served.Add(a.at)
			v.seen.Served(end.Sub(a.at))
			o.served++
			if a.liar {
				o.liarsServed++
			}
			l.count(a, true)
			continue
		}
		l.count(a, false)
		if a.again {
			o.refused++
			continue
		}
		trip := 40*time.Millisecond + time.Duration(l.rng.IntN(int(80*time.Millisecond)))
		wait := min(l.policy(a.at, v, left), left/3)
		heap.Push(&queue, arrival{a.at.Add(wait + trip), a.deadline, true, a.liar, wait < appointment.MinWait})
	}
	return o
}

// count counts a return.
func (l *load) count(a arrival, served bool) {
	if l.tally == nil || !a.again {
		return
	}
	if l.tally[a.rushed] == nil {
		l.tally[a.rushed] = &tally{}
	}
	l.tally[a.rushed].returns++
	if served {
		l.tally[a.rushed].served++
	}
}

// bound returns how many callers of the second phase cannot be served whatever is known: those
// beyond what is served in it, what may wait at its end, and what the next one leaves while
// they wait.
func bound(start time.Time, list arrivals, phases []phase) int {
	if len(phases) < 3 {
		return 0
	}
	from := start.Add(phases[0].length)
	to := from.Add(phases[1].length)
	n := 0.0
	for _, a := range list {
		if a.at.After(from) && a.at.Before(to) {
			n++
		}
	}
	waiting := (returnDepth - phases[0].demand) * slots
	after := (1 - phases[2].demand) * (callerTime / 3).Seconds() * capacity
	return int(max(0, n-phases[1].length.Seconds()*capacity-waiting-after))
}

func (l *load) newCallers(start time.Time, phases []phase) arrivals {
	var list arrivals
	at := start
	for _, p := range phases {
		end := at.Add(p.length)
		for at = at.Add(l.gap(p)); at.Before(end); at = at.Add(l.gap(p)) {
			// Callers of one route begin with 0.85 to 1 of its time.
			left := time.Duration((0.85 + 0.15*l.rng.Float64()) * float64(callerTime))
			list = append(list, arrival{at: at, deadline: at.Add(left), liar: l.rng.Float64() < l.liars})
		}
		at = end
	}
	heap.Init(&list)
	return list
}

func (l *load) gap(p phase) time.Duration {
	return time.Duration(l.rng.ExpFloat64() / (p.demand * capacity) * float64(time.Second))
}

// overload is a service at 1.3 of its slots for ten seconds.
var overload = []phase{{5 * time.Second, 0.7}, {10 * time.Second, 1.3}, {5 * time.Second, 0.7}}

// Guards against callers who are refused together, come back together and are refused again.
func TestOverload(t *testing.T) {
	for _, vms := range []int{10, 60, 125} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			before, got := newLoad(vms, fixed).run(overload...), newLoad(vms, appointed).run(overload...)
			t.Logf("refused twice: fixed %d, appointments %d, perfect knowledge %d of %d callers; most returns in 100 ms: %d, %d", before.refused, got.refused, got.bound, got.callers, before.busiest, got.busiest)
			if got.refused >= before.refused {
				t.Errorf("%d were refused twice, with a fixed time %d", got.refused, before.refused)
			}
			if got.refused > got.bound+got.callers/20 {
				t.Errorf("%d were refused twice, with perfect knowledge %d", got.refused, got.bound)
			}
		})
	}
}

// Guards against callers who ignore Retry-After and are served before those who wait.
func TestRetryStorm(t *testing.T) {
	var ignoring int
	l := newLoad(60, nil)
	l.policy = func(now time.Time, v *vm, left time.Duration) time.Duration {
		wait := appointed(now, v, left)
		if l.rng.Float64() < 0.3 {
			ignoring++
			return ignored(now, v, left)
		}
		return wait
	}
	l.tally = make(map[bool]*tally)
	l.run(overload...)
	told, rushed := l.tally[false], l.tally[true]
	t.Logf("of those who came back when told %d of %d were served, of those who did not wait %d of %d", told.served, told.returns, rushed.served, rushed.returns)
	if told.share() < rushed.share() {
		t.Errorf("%.2f of those who came back when told were served, %.2f of those who did not wait", told.share(), rushed.share())
	}
}

// Guards against promises of room that a drain takes away.
func TestDrain(t *testing.T) {
	drain := func(since time.Duration) int {
		if since > 5*time.Second && since < 8*time.Second {
			return slots / 2
		}
		return slots
	}
	run := func(p policy) outcome {
		l := newLoad(60, p)
		l.slots = drain
		return l.run(phase{5 * time.Second, 0.95}, phase{8 * time.Second, 0.95})
	}
	before, got := run(fixed), run(appointed)
	t.Logf("refused twice: fixed %d, appointments %d of %d", before.refused, got.refused, got.callers)
	if got.refused >= before.refused {
		t.Errorf("%d were refused twice, with a fixed time %d", got.refused, before.refused)
	}
}

// Guards against promises that end with the VM that made them.
func TestLostBooks(t *testing.T) {
	one := func(l *load, since time.Duration) {
		if since%(200*time.Millisecond) == 0 {
			l.vms[l.rng.IntN(len(l.vms))] = &vm{}
		}
	}
	all := func(l *load, since time.Duration) {
		if since == 8*time.Second {
			for i := range l.vms {
				l.vms[i] = &vm{}
			}
		}
	}
	for _, tc := range []struct {
		name  string
		event func(*load, time.Duration)
	}{{"one by one", one}, {"all at once", all}} {
		t.Run(tc.name, func(t *testing.T) {
			before := newLoad(60, fixed).run(overload...)
			l := newLoad(60, appointed)
			l.event = tc.event
			got := l.run(overload...)
			t.Logf("refused twice: fixed %d, appointments %d of %d", before.refused, got.refused, got.callers)
			if got.refused >= before.refused {
				t.Errorf("%d were refused twice, with a fixed time %d", got.refused, before.refused)
			}
		})
	}
}

// Guards against callers who claim to have come back and starve honest ones.
func TestLiars(t *testing.T) {
	honest := newLoad(60, appointed).run(overload...)
	l := newLoad(60, appointed)
	l.liars = 0.5
	got := l.run(overload...)
	was := float64(honest.served) / float64(honest.callers)
	is := float64(got.served-got.liarsServed) / float64(got.callers-got.liars)
	t.Logf("served of honest callers: %.3f without liars, %.3f with", was, is)
	if is < was-0.05 {
		t.Errorf("%.3f of honest callers were served, without liars %.3f", is, was)
	}
}
