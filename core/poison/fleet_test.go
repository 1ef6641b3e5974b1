package poison_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/poison"
)

// The tests simulate a fleet of VMs and upstreams: poison requests arrive among others,
// upstreams also crash by themselves and in groups, VMs crash and restart, and news is delayed
// and partly lost. The bounds are those that users require.
const (
	knownWithin = 3 * time.Second // From the third crash until no VM may forward the request.
	stillSent   = 3               // How often it may be forwarded after that.
)

// fleetSeeds is the number of simulations, with seeds from 0.
var fleetSeeds = flag.Uint64("fleet-seeds", 4, "number of simulated fleets")

// event is a function that runs at a time.
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
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simRun is a run in flight.
type simRun struct {
	vm      *simVM
	name    string
	began   time.Time
	trial   *poison.Trial
	retries int
	over    bool
}

// simUpstream is one incarnation of an upstream.
type simUpstream struct {
	id       string
	zone     int
	down     bool
	inFlight []*simRun
}

type simVM struct {
	ledger *poison.Ledger
	down   bool
}

// history is when a poison request crashed upstreams and when it was forwarded.
type history struct {
	crashes []time.Time
	sent    []time.Time
}

// sim is one simulation.
type sim struct {
	t         *testing.T
	rng       *rand.Rand
	queue     events
	now       time.Time
	vms       []*simVM
	upstreams []*simUpstream
	started   int
	poisonous map[string]*history // Poison requests by name.
	innocent  int
	served    int
	lost      map[string]bool // Innocent requests whose caller gave up.
	platform  []poison.Ban
	// answering says that every second run that crashes an upstream is answered right before
	// the crash.
	answering bool
}

func (s *sim) after(d time.Duration, do func(time.Time)) {
	heap.Push(&s.queue, event{s.now.Add(d), do})
}

// randomBetween returns a random duration.
func (s *sim) randomBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

func (s *sim) addUpstream(zone int) {
	s.started++
	s.upstreams = append(s.upstreams, &simUpstream{id: fmt.Sprint("i-", s.started), zone: zone})
}

// send has a VM forward a request to an upstream.
func (s *sim) send(vm *simVM, name string, retries int) {
	if vm.down {
		s.after(20*time.Millisecond, func(time.Time) { s.retry(name, retries+1) }) // The caller tries another VM.
		return
	}
	trial, refused := vm.ledger.Admit(s.now, printOf(name))
	if refused != nil {
		if s.poisonous[name] == nil {
			s.after(min(refused.RetryAfter, 300*time.Millisecond), func(time.Time) { s.retry(name, retries) })
		}
		return
	}
	u := s.choose(trial.Avoid(s.now))
	if u == nil {
		trial.Done()
		s.after(250*time.Millisecond, func(time.Time) { s.retry(name, retries) })
		return
	}
	trial.At(u.id)
	r := &simRun{vm: vm, name: name, began: s.now, trial: trial, retries: retries}
	u.inFlight = append(u.inFlight, r)
	if h := s.poisonous[name]; h != nil {
		h.sent = append(h.sent, s.now)
		s.after(s.randomBetween(30*time.Millisecond, 200*time.Millisecond), func(time.Time) {
			if s.answering && s.rng.IntN(2) == 0 {
				s.answer(u, r)
			}
			s.crash(u, name)
		})
		return
	}
	s.after(s.randomBetween(50*time.Millisecond, 400*time.Millisecond), func(time.Time) { s.answer(u, r) })
}

func (s *sim) choose(avoid []string) *simUpstream {
	var list []*simUpstream
	for _, u := range s.upstreams {
		if !u.down && len(u.inFlight) < 8 && !slices.Contains(avoid, u.id) {
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[s.rng.IntN(len(list))]
}

// retry has the caller send the request again, to any VM.
func (s *sim) retry(name string, retries int) {
	if retries <= 0 {
		s.giveUp(name)
		return
	}
	s.send(s.vms[s.rng.IntN(len(s.vms))], name, retries-1)
}

func (s *sim) giveUp(name string) {
	if s.poisonous[name] == nil {
		s.lost[name] = true
	}
}

func (s *sim) answer(u *simUpstream, r *simRun) {
	if r.over || u.down {
		return
	}
	r.over = true
	u.inFlight = slices.DeleteFunc(u.inFlight, func(other *simRun) bool { return other == r })
	r.vm.ledger.Answered(s.now, r.began, u.id)
	if !r.vm.ledger.Knows(printOf(r.name).Head) {
		r.vm.ledger.ServedUnsuspected(poison.Run{Target: u.id, Began: r.began, Ended: s.now}, requestOf(r.name))
	} else if r.vm.ledger.Served(s.now, poison.Run{Print: printOf(r.name), Target: u.id, Began: r.began, Ended: s.now, Alone: r.trial != nil && r.trial.Alone}) {
		s.after(poison.SurvivalTime, func(time.Time) { s.probe(r.vm.ledger, u) })
	}
	r.trial.Done()
	s.served++
}

// probe finds out for a VM whether an upstream has crashed.
func (s *sim) probe(l *poison.Ledger, u *simUpstream) {
	if u.down {
		l.Crashed(s.now, u.id)
	} else {
		l.NotCrashed(s.now, u.id, true)
	}
}

// crash crashes an upstream, by itself (name is empty) or because of a request.
func (s *sim) crash(u *simUpstream, name string) {
	if u.down {
		return
	}
	u.down = true
	if h := s.poisonous[name]; h != nil {
		h.crashes = append(h.crashes, s.now)
	}
	for _, r := range u.inFlight {
		r.over = true
		s.after(s.randomBetween(0, 60*time.Millisecond), func(now time.Time) { s.loseConnection(now, u, r) })
	}
	u.inFlight = nil
	s.after(s.randomBetween(time.Second, 3*time.Second), func(time.Time) { s.addUpstream(u.zone) })
}

// loseConnection has a run lose its connection: the VM probes the upstream, and the request is
// sent again.
func (s *sim) loseConnection(now time.Time, u *simUpstream, r *simRun) {
	vm := r.vm
	if !vm.down {
		run := poison.Run{Print: printOf(r.name), Target: u.id, Began: r.began, Ended: now, Alone: r.trial != nil && r.trial.Alone}
		if vm.ledger.ConnectionLost(now, run) {
			s.after(s.randomBetween(time.Millisecond, 120*time.Millisecond), func(now time.Time) { vm.ledger.Crashed(now, u.id) })
		}
		r.trial.Done()
		if s.rng.IntN(2) == 0 && r.retries > 0 { // The VM itself sends it to another upstream.
			s.send(vm, r.name, r.retries-1)
			return
		}
	}
	s.after(s.randomBetween(10*time.Millisecond, 200*time.Millisecond), func(time.Time) { s.retry(r.name, r.retries) })
}

// tick does the periodic work of all VMs.
func (s *sim) tick() {
	for _, vm := range s.vms {
		if vm.down {
			continue
		}
		vm.ledger.Tick(s.now)
		if list := vm.ledger.Unpersisted(s.now, 0); len(list) > 0 {
			s.platform = append(s.platform, list...)
			vm.ledger.Kept(s.now, list)
		}
		news := vm.ledger.TakeNews()
		for _, to := range s.vms {
			if to != vm && s.rng.IntN(50) > 0 {
				s.after(s.randomBetween(time.Millisecond, 80*time.Millisecond), func(now time.Time) { to.ledger.MergeNews(now, news) })
			}
		}
		other := s.vms[s.rng.IntN(len(s.vms))]
		if other != vm && !other.down && s.rng.IntN(20) == 0 && other.ledger.Digest() != vm.ledger.Digest() {
			all := other.ledger.Snapshot()
			s.after(60*time.Millisecond, func(now time.Time) { vm.ledger.MergeNews(now, all) })
		}
	}
	s.after(25*time.Millisecond, func(time.Time) { s.tick() })
}

// restart crashes a VM. It restarts with what the platform and another VM know.
func (s *sim) restart(vm *simVM) {
	vm.down = true
	s.after(time.Second, func(now time.Time) {
		vm.ledger, vm.down = poison.NewLedger(), false
		vm.ledger.Restore(now, s.platform)
		vm.ledger.MergeNews(now, s.vms[s.rng.IntN(len(s.vms))].ledger.Snapshot())
	})
}

// run simulates a minute.
func (s *sim) run(vms, upstreams, poisonous int) {
	s.now = start
	for range vms {
		s.vms = append(s.vms, &simVM{ledger: poison.NewLedger()})
	}
	for i := range upstreams {
		s.addUpstream(i % 6)
	}
	s.after(0, func(time.Time) { s.tick() })
	for k := range poisonous {
		name := fmt.Sprint("killer", k)
		s.poisonous[name] = &history{}
		maxPause := []time.Duration{600 * time.Millisecond, 100 * time.Millisecond, 20 * time.Second}[s.rng.IntN(3)]
		for at := s.randomBetween(5*time.Second, 20*time.Second); at < 50*time.Second; at += s.randomBetween(20*time.Millisecond, maxPause) {
			s.after(at, func(time.Time) { s.retry(name, 1+s.rng.IntN(2)) })
		}
	}
	for at := time.Duration(0); at < 50*time.Second; at += s.randomBetween(time.Millisecond, 12*time.Millisecond) {
		name := fmt.Sprint("innocent", s.innocent)
		s.innocent++
		s.after(at, func(time.Time) { s.retry(name, 12) })
	}
	// Ten requests with many callers each, the first of them twenty times a second.
	for at := time.Duration(0); at < 50*time.Second; at += s.randomBetween(time.Millisecond, 50*time.Millisecond) {
		s.innocent++
		s.after(at, func(time.Time) { s.retry(fmt.Sprint("popular", max(0, s.rng.IntN(20)-10)), 12) })
	}
	for range 8 { // Upstreams that crash by themselves, one or all of a zone.
		s.after(s.randomBetween(0, 50*time.Second), func(time.Time) {
			zone, all := s.rng.IntN(6), s.rng.IntN(3) == 0
			for _, u := range s.upstreams {
				if u.zone == zone && !u.down {
					s.crash(u, "")
					if !all {
						return
					}
				}
			}
		})
	}
	for range 4 {
		s.after(s.randomBetween(0, 50*time.Second), func(time.Time) { s.restart(s.vms[s.rng.IntN(len(s.vms))]) })
	}
	s.after(s.randomBetween(25*time.Second, 45*time.Second), func(time.Time) {
		for _, vm := range s.vms {
			s.restart(vm)
		}
	})
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if s.now = e.at; s.now.Sub(start) > time.Minute {
			return
		}
		e.do(s.now)
	}
}

// Guards against poison requests that are forwarded further, and against bans of others. Poison
// requests arrive at every VM, upstreams also crash by themselves, and VMs crash, one and all at
// once.
func TestFleetBansOnlyPoisonRequests(t *testing.T) { testFleets(t, false) }

// Guards against poison requests that are cleared by the responses that upstreams send just
// before they crash.
func TestFleetBansAnsweredPoisonRequests(t *testing.T) { testFleets(t, true) }

func testFleets(t *testing.T, answering bool) {
	worst, total := 0, 0
	for seed := range *fleetSeeds {
		s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), poisonous: map[string]*history{}, lost: map[string]bool{}, answering: answering}
		s.run(4+int(seed%4)*6, 24, int(seed%4))
		for name, h := range s.poisonous {
			late := 0
			for _, at := range h.sent {
				if len(h.crashes) > 2 && at.After(h.crashes[2].Add(knownWithin)) {
					late++
				}
			}
			worst, total = max(worst, len(h.crashes)), total+len(h.crashes)
			if late > stillSent {
				t.Errorf("seed %d: %s was forwarded %d times later than %v after its third crash, it crashed %d upstreams", seed, name, late, knownWithin, len(h.crashes))
			}
		}
		banned := map[poison.Print]bool{}
		for _, b := range s.platform {
			banned[b.Print] = true
		}
		for i := range s.innocent {
			if name := fmt.Sprint("innocent", i); banned[printOf(name)] {
				t.Errorf("seed %d: %s was banned", seed, name)
			}
		}
		for i := range 10 {
			if name := fmt.Sprint("popular", i); banned[printOf(name)] {
				t.Errorf("seed %d: %s was banned", seed, name)
			}
		}
		if lost := len(s.lost); lost > s.innocent/1000 {
			t.Errorf("seed %d: the callers of %d of %d innocent requests gave up", seed, lost, s.innocent)
		}
	}
	t.Logf("one request crashed at most %d upstreams, all together %d", worst, total)
}
