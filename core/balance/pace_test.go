package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/balance"
)

// The work of the users' look-ups on an object that is new to a target and on one that it has had,
// and their objective.
const (
	newWork   = 1100 * time.Millisecond
	warmWork  = 330 * time.Millisecond
	objective = time.Second
)

func lookUp(key string) balance.Request {
	return balance.Request{Route: "look-up", Key: key, Urgent: true, Objective: objective, Within: objective}
}

// serve has a request served, in the given time, by a target that then reports a load.
func serve(t *testing.T, b *balance.Balancer, now time.Time, key string, work time.Duration, load *balance.Load) balance.Lease {
	t.Helper()
	l := choose(t, b, now, lookUp(key))
	b.Done(now.Add(work), l, balance.Outcome{Answered: true, Served: true, Load: load})
	return l
}

// warmUp has each object served as a new one and then as a warm one, and returns the time after.
func warmUp(t *testing.T, b *balance.Balancer, objects int, load *balance.Load) time.Time {
	t.Helper()
	now := start
	for i := range objects {
		for _, work := range []time.Duration{newWork, warmWork, warmWork, warmWork, warmWork, warmWork} {
			serve(t, b, now, fmt.Sprint("object", i), work, load)
			now = now.Add(work)
		}
	}
	return now
}

// Guards against an expected time that is the mean over new and warm objects.
func TestExpectedTimeIsKeptApartForWarmObjects(t *testing.T) {
	b := newVM("r", newTargets(9, map[string]int{"r": 3}))
	now := warmUp(t, b, 20, &balance.Load{Slots: 9, Pace: 1})
	for _, c := range []struct {
		key  string
		warm bool
		want time.Duration
	}{{"object3", true, warmWork}, {"another", false, newWork}} {
		l := choose(t, b, now, lookUp(c.key))
		if l.Warm != c.warm || (l.Expected-c.want).Abs() > c.want/10 {
			t.Errorf("%s: warm %v, expected %v, want %v, %v", c.key, l.Warm, l.Expected, c.warm, c.want)
		}
	}
}

// Work that took longer since the target's machine was busy must not count as the target's usual
// time.
func TestExpectedTimeIsThatOfTheUsualPace(t *testing.T) {
	b := newVM("r", newTargets(9, map[string]int{"r": 1}))
	now := start
	for range 30 {
		serve(t, b, now, "a", 5*warmWork/2, &balance.Load{Slots: 9, Pace: 2.5})
		now = now.Add(time.Second)
	}
	if l := choose(t, b, now.Add(time.Minute/2), lookUp("a")); (l.Expected - warmWork).Abs() > warmWork/10 {
		t.Errorf("expected %v, want %v", l.Expected, warmWork)
	}
}

// Another VM has placed the object and used it, so it is warm here too.
func TestObjectsPlacedByOthersAreWarm(t *testing.T) {
	targets := newTargets(9, map[string]int{"r": 3})
	a, b := newVM("r", targets), newVM("r", targets)
	serve(t, a, start, "x", newWork, nil)
	b.MergePlacements(start, a.News())
	if l := choose(t, b, start.Add(time.Second), lookUp("x")); !l.Warm {
		t.Error("the object is not warm at the target where another VM placed it")
	}
	if l := choose(t, b, start.Add(2*time.Minute), lookUp("x")); l.Warm {
		t.Error("the object is warm though nobody has used it for two minutes")
	}
}

// Guards against a queue behind slow work that is taken for one at the usual pace.
func TestQueueBehindSlowWork(t *testing.T) {
	for _, c := range []struct {
		name string
		pace float64
		age  time.Duration
		use  balance.PaceUse
		owns bool
	}{
		{"usual pace", 1, 10 * time.Millisecond, balance.PaceIfReported, true},
		{"slow", 2.5, 10 * time.Millisecond, balance.PaceIfReported, false},
		{"slow, switched off", 2.5, 10 * time.Millisecond, balance.PaceNever, true},
		{"slow a while ago", 2.5, 900 * time.Millisecond, balance.PaceIfReported, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newVM("r", newTargets(9, map[string]int{"r": 4}))
			b.SetPaceUse(c.use)
			now := warmUp(t, b, 20, &balance.Load{Slots: 9, Pace: 1}).Add(5 * time.Second)
			serve(t, b, now, "object1", warmWork, &balance.Load{Running: 9, Waiting: 10, Slots: 9, Pace: c.pace})
			l := choose(t, b, now.Add(warmWork+c.age), lookUp("object1"))
			if l.Owner != c.owns {
				t.Errorf("owner %v, expected %v", l.Owner, l.Expected)
			}
			if late := b.LoadStats().OwnersLate > 0; late == c.owns {
				t.Errorf("counted as late: %v", late)
			}
		})
	}
}

// Where upstreams report no pace, and where its use is switched off, requests must go where they
// went before there was any.
func TestDecisionsWithoutPaceAreUnchanged(t *testing.T) {
	play := func(pace float64, use balance.PaceUse) []string {
		b := balance.New("vm", "r", "r-0", balance.WithPaceUse(use))
		b.SetTargets(newTargets(4, map[string]int{"r": 6}))
		b.SetSynced()
		rnd := rand.New(rand.NewPCG(1, 2))
		var chosen []string
		var leases []balance.Lease
		now := start
		for range 4000 {
			now = now.Add(time.Duration(rnd.IntN(60)) * time.Millisecond)
			req := lookUp(fmt.Sprint(rnd.IntN(60)))
			req.Service = "s"
			l, err := b.Choose(now, req)
			if err != nil {
				chosen = append(chosen, "none")
			} else {
				chosen = append(chosen, l.Target.ID)
				leases = append(leases, l)
			}
			if len(leases) > 40 || err != nil && len(leases) > 0 {
				i := rnd.IntN(len(leases))
				load := &balance.Load{Running: 4, Waiting: rnd.IntN(9), Slots: 4}
				if rnd.IntN(7) == 0 {
					load.Pace = pace
				}
				b.Done(now, leases[i], balance.Outcome{Answered: true, Served: true, Load: load})
				leases = slices.Delete(leases, i, i+1)
			}
		}
		return chosen
	}
	want := play(0, balance.PaceNever)
	if !slices.Equal(play(0, balance.PaceIfReported), want) {
		t.Error("other choices though no upstream reports its pace")
	}
	if !slices.Equal(play(2.5, balance.PaceNever), want) {
		t.Error("other choices though the use of the pace is switched off")
	}
	if slices.Equal(play(2.5, balance.PaceIfReported), want) {
		t.Error("the same choices with the pace: the sequence does not depend on it")
	}
}
