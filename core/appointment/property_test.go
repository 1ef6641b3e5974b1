package appointment_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/appointment"
)

// asked is a refused caller: how long after the one before it, and what is expected then.
type asked struct {
	gap, pause, left time.Duration
	perSecond        float64
}

func genAsked(perSecond gopter.Gen) gopter.Gen {
	ms := func(lo, hi int) gopter.Gen {
		return gen.IntRange(lo, hi).Map(func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	return gopter.CombineGens(ms(0, 300), ms(0, 800), ms(0, 6000), perSecond).Map(func(v []any) asked {
		return asked{v[0].(time.Duration), v[1].(time.Duration), v[2].(time.Duration), v[3].(float64)}
	})
}

func properties(t *testing.T) (*gopter.Properties, func()) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	return p, func() { p.TestingRun(t) }
}

// promised returns the moments that a book promises to the callers.
func promised(b *appointment.Book, callers []asked, visit func(now time.Time, c asked, wait time.Duration)) []time.Time {
	now := time.Unix(1000, 0)
	var list []time.Time
	for _, c := range callers {
		now = now.Add(c.gap)
		room := appointment.Room{From: now.Add(c.pause), PerSecond: c.perSecond}
		if wait, ok := b.Next(now, room, appointment.Latest(c.left, 0)); ok {
			list = append(list, now.Add(wait))
			visit(now, c, wait)
		}
	}
	return list
}

// In any span of time, the promised requests are at most Part of those that there is room for,
// and one.
func TestPromisesStayBelowTheRoom(t *testing.T) {
	p, run := properties(t)
	const perSecond = 20
	p.Property("at most Part of the room", prop.ForAll(func(callers []asked) bool {
		var b appointment.Book
		list := promised(&b, callers, func(time.Time, asked, time.Duration) {})
		slices.SortFunc(list, time.Time.Compare)
		for i := range list {
			for j := i; j < len(list); j++ {
				if float64(j-i) > list[j].Sub(list[i]).Seconds()*appointment.Part*perSecond+1e-6 {
					return false
				}
			}
		}
		return true
	}, gen.SliceOfN(120, genAsked(gen.Const(float64(perSecond))))))
	run()
}

// Nobody is told to come back before the pause ends, too soon to meet other than the same
// shortage, or later than a third of the time that is left.
func TestPromisesAreWithinTheCallersTime(t *testing.T) {
	p, run := properties(t)
	p.Property("between the pause and a third of the time", prop.ForAll(func(callers []asked) bool {
		var b appointment.Book
		within := true
		promised(&b, callers, func(_ time.Time, c asked, wait time.Duration) {
			within = within && wait >= max(c.pause, appointment.MinWait) && wait <= c.left/3
		})
		return within
	}, gen.SliceOfN(120, genAsked(gen.Float64Range(0, 500)))))
	p.Property("late moments", prop.ForAll(func(left int) bool {
		var b appointment.Book
		latest := time.Duration(left) * time.Millisecond / 3
		for range 50 {
			if w := b.Last(time.Unix(1000, 0), 0, latest); w > latest || w < latest/2 {
				return false
			}
		}
		return true
	}, gen.IntRange(1, 10_000)))
	run()
}

// Callers that are refused at the same moment are told moments that are spread: no tenth of
// the span holds more than twice its part of them.
func TestMomentsAreSpread(t *testing.T) {
	const callers = 100
	spread := func(name string, list []time.Duration) {
		slices.Sort(list)
		first, span := list[0], list[len(list)-1]-list[0]
		counts := make([]int, 10)
		for _, w := range list {
			counts[min(9, int(10*(w-first)/span))]++
		}
		if most := slices.Max(counts); most > 2*len(list)/10 {
			t.Errorf("%s: %v of %d by tenths of %v", name, counts, len(list), span)
		}
	}
	now := time.Unix(1000, 0)
	var one, late appointment.Book
	var promisedAt, lateAt, fleet []time.Duration
	for range callers {
		if wait, ok := one.Next(now, appointment.Room{PerSecond: 400}, time.Second); ok {
			promisedAt = append(promisedAt, wait)
		}
		lateAt = append(lateAt, late.Last(now, 0, time.Second))
	}
	spread("one VM", promisedAt)
	spread("late moments", lateAt)
	rng := rand.New(rand.NewPCG(1, 1))
	for range callers {
		var b appointment.Book
		at := now.Add(time.Duration(rng.IntN(int(time.Second))))
		if wait, ok := b.Next(at, appointment.Room{PerSecond: 4}, time.Second); ok {
			fleet = append(fleet, wait)
		}
	}
	spread("the first of each VM", fleet)
}

// Guards against promises that are made anew by each process that starts: in any second, those of
// VMs that are killed again and again are at most Part of what they serve, and one for each start.
func TestStartedVMsPromiseWhatTheyServe(t *testing.T) {
	const vms, life, served, refused = 20, 700 * time.Millisecond, 5, 50
	var list []time.Time
	begin := time.Unix(1000, 0)
	for vm := range vms {
		var b appointment.Book
		var m appointment.Meter
		started := begin.Add(time.Duration(vm) * life / vms)
		for at := started; at.Before(begin.Add(20 * time.Second)); at = at.Add(time.Second / refused) {
			if at.Sub(started) >= life {
				b, m, started = appointment.Book{}, appointment.Meter{}, at
			}
			if int(at.Sub(begin)*served/time.Second) != int(at.Add(-time.Second/refused).Sub(begin)*served/time.Second) {
				m.Add(at)
			}
			if wait, ok := b.Next(at, appointment.Room{PerSecond: m.PerSecond(at)}, time.Second); ok {
				list = append(list, at.Add(wait))
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	starts := vms * float64(time.Second) / float64(life)
	for i, from := range list {
		n := 0
		for n < len(list)-i && list[i+n].Sub(from) < time.Second {
			n++
		}
		if most := appointment.Part*vms*served + starts; float64(n) > most {
			t.Fatalf("%d promises in a second, want at most %.0f", n, most)
		}
	}
}
