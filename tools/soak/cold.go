package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnlatch/io/lifecycle"
	"auburnlatch/platform/standin"
)

const (
	// A cold upstream may get coldMultiplier times its rate and coldSlack more in coldWindow.
	coldMultiplier = 1.5
	coldSlack      = 5
	coldWindow     = time.Second
	// coldInterval is the mean time between two turns of upstreams to cold.
	coldInterval = 2500 * time.Millisecond
	// maxDown is the longest time between the end of processes and their return together.
	maxDown = 1200 * time.Millisecond
	// maxBlinds is the most faults that hide one turn from VMs. They begin up to maxBlindLead
	// before the turn and last up to maxBlind.
	maxBlinds    = 3
	maxBlindLead = 1500 * time.Millisecond
	maxBlind     = 5 * time.Second
	// minStoreBack is how long the store is not away again after it was.
	minStoreBack = time.Second
	// coldDelay is the time after which a VM must act on a registration that the store has.
	coldDelay = 500 * time.Millisecond
	// minEvacuation and maxEvacuation bound how long a zone is evacuated before its upstreams
	// turn cold, and maxColdEvacuated how long they are cold when that is taken back.
	minEvacuation, maxEvacuation = time.Second, 2 * time.Second
	maxColdEvacuated             = 600 * time.Millisecond
	// maxTurnGap is the longest time between kills of VMs in turn.
	maxTurnGap = 300 * time.Millisecond
)

// A coldFault is a way in which upstreams turn cold, or VMs do not notice.
type coldFault struct {
	name string
	run  func(c *cooler, rnd *rand.Rand) error
}

// coldTurns are the ways in which upstreams turn cold.
var coldTurns = []coldFault{
	{"zoneBack", func(c *cooler, rnd *rand.Rand) error { return c.zoneBack(c.zone(rnd), rnd) }},
	{"zoneBackUnregistered", (*cooler).zoneBackUnregistered},
	{"zoneTurned", func(c *cooler, rnd *rand.Rand) error { return c.turn(c.zone(rnd)) }},
	{"zoneTakenBack", (*cooler).zoneTakenBack},
}

// blinds are the faults beside which they do. All but the last two keep VMs from reading the
// store.
var blinds = []coldFault{
	{"storeAway", func(c *cooler, rnd *rand.Rand) error {
		defer c.fleet.exemptions.begin(storeName)()
		_, err := c.fleet.control("away", nil)
		<-time.After(blindFor(rnd))
		_, err2 := c.fleet.control("back", nil)
		<-time.After(minStoreBack)
		return errors.Join(err, err2)
	}},
	{"storeSilent", func(c *cooler, rnd *rand.Rand) error {
		defer c.fleet.exemptions.begin(storeName)()
		return pauseProcess(c.fleet.store, blindFor(rnd))
	}},
	{"pathsFaulty", func(c *cooler, rnd *rand.Rand) error {
		mode, d := rnd.IntN(len(modeNames)-1), blindFor(rnd)
		return c.each(c.someVMs(rnd), "storePathFaulty", func(v *vm) error { return impairPath(v.store, mode, d) })
	}},
	{"somePaused", func(c *cooler, rnd *rand.Rand) error {
		d := blindFor(rnd) / 2
		return c.each(c.someVMs(rnd), "vmPaused", func(v *vm) error { return pauseProcess(v.process, d) })
	}},
	{"allKilled", func(c *cooler, rnd *rand.Rand) error {
		down := time.Duration(rnd.Int64N(int64(maxDown)))
		return c.each(rnd.Perm(len(c.fleet.vms)), "vmKilled", func(v *vm) error { return v.restartAfter(syscall.SIGKILL, down) })
	}},
	{"killedInTurn", func(c *cooler, rnd *rand.Rand) error {
		for _, i := range rnd.Perm(len(c.fleet.vms)) {
			if err := c.each([]int{i}, "vmKilled", func(v *vm) error { return v.restart(syscall.SIGKILL) }); err != nil {
				return err
			}
			<-time.After(time.Duration(rnd.Int64N(int64(maxTurnGap))))
		}
		return nil
	}},
	{"callersMoved", func(c *cooler, rnd *rand.Rand) error {
		list := c.someVMs(rnd)
		c.fleet.called.Store(&list)
		<-time.After(blindFor(rnd))
		c.fleet.called.Store(nil)
		return nil
	}},
}

// besideColds are the faults that also happen at any time.
var besideColds = []string{"vmKilled", "vmStopped", "vmPaused", "vmReloaded", "upstreamKilled"}

func blindFor(rnd *rand.Rand) time.Duration { return time.Duration(rnd.Int64N(int64(maxBlind))) }

// cooler lets upstreams turn cold while VMs do not notice, on a schedule determined by a seed.
type cooler struct {
	fleet *fleet
	chaos *chaos
	rnd   *rand.Rand
	count int
	wait  sync.WaitGroup
}

// run lets upstreams turn cold until end and returns when the last fault is over.
func (c *cooler) run(ctx context.Context, end time.Time) {
	for lifecycle.Sleep(ctx, time.Duration(c.rnd.ExpFloat64()*float64(coldInterval))) && time.Now().Before(end) {
		c.count++
		c.start(coldTurns[c.rnd.IntN(len(coldTurns))], maxBlindLead)
		for range 1 + c.rnd.IntN(maxBlinds) {
			c.start(blinds[c.rnd.IntN(len(blinds))], time.Duration(c.rnd.Int64N(int64(2*maxBlindLead))))
		}
	}
	c.wait.Wait()
}

// start injects a fault after a delay.
func (c *cooler) start(f coldFault, delay time.Duration) {
	rnd := rand.New(rand.NewPCG(c.rnd.Uint64(), 0))
	c.wait.Go(func() {
		<-time.After(delay)
		c.chaos.recordFault(f.name)
		lock := c.chaos.lock("cold-"+f.name, 0)
		lock.Lock()
		defer lock.Unlock()
		c.chaos.recordError(f.name, f.run(c, rnd))
	})
}

// someVMs returns the numbers of one VM or more.
func (c *cooler) someVMs(rnd *rand.Rand) []int {
	return rnd.Perm(len(c.fleet.vms))[:1+rnd.IntN(len(c.fleet.vms))]
}

// each injects a fault of the given name at VMs at once.
func (c *cooler) each(vms []int, name string, run func(v *vm) error) error {
	var wait sync.WaitGroup
	for _, i := range vms {
		wait.Go(func() {
			lock := c.chaos.lock(name, i)
			lock.Lock()
			defer lock.Unlock()
			defer c.fleet.exemptions.begin(c.fleet.vm(i).name)()
			c.chaos.recordError(name, run(c.fleet.vm(i)))
		})
	}
	wait.Wait()
	return nil
}

// zone returns the numbers of a zone's upstreams.
func (c *cooler) zone(rnd *rand.Rand) (list []int) {
	for i := rnd.IntN(min(4, len(c.fleet.upstreams))); i < len(c.fleet.upstreams); i += 4 { // See zoneOf.
		list = append(list, i)
	}
	return list
}

// zoneBack ends the upstreams of a zone, which come back together.
func (c *cooler) zoneBack(upstreams []int, rnd *rand.Rand) error {
	down := time.Duration(rnd.Int64N(int64(maxDown)))
	var wait sync.WaitGroup
	for _, i := range upstreams {
		wait.Go(func() {
			lock := c.chaos.lock("upstreamKilled", i)
			lock.Lock()
			defer lock.Unlock()
			c.chaos.recordError("zoneBack", c.fleet.upstream(i).restartAfter(syscall.SIGKILL, down))
		})
	}
	wait.Wait()
	return nil
}

// zoneBackUnregistered is zoneBack for upstreams that do not reach the store meanwhile.
func (c *cooler) zoneBackUnregistered(rnd *rand.Rand) error {
	list, hidden := c.zone(rnd), mode(1+rnd.IntN(len(modeNames)-1))
	for _, i := range list {
		c.fleet.upstream(i).store.mode.Store(int32(hidden))
	}
	err := c.zoneBack(list, rnd)
	<-time.After(blindFor(rnd))
	for _, i := range list {
		c.fleet.upstream(i).store.mode.Store(int32(pass))
	}
	return err
}

// turn turns upstreams cold that go on running.
func (c *cooler) turn(upstreams []int) error {
	for _, i := range upstreams {
		c.fleet.upstream(i).setNotice(context.Background(), "cold", standin.ColdStart.String())
	}
	return nil
}

// zoneTakenBack evacuates a zone, whose upstreams turn cold before that is taken back.
func (c *cooler) zoneTakenBack(rnd *rand.Rand) error {
	list := c.zone(rnd)
	zone, _ := zoneOf(list[0])
	if err := c.fleet.setEvacuated(zone, true); err != nil {
		return err
	}
	<-time.After(minEvacuation + time.Duration(rnd.Int64N(int64(maxEvacuation-minEvacuation))))
	if err := c.turn(list); err != nil {
		return err
	}
	<-time.After(time.Duration(rnd.Int64N(int64(maxColdEvacuated))))
	from := time.Now()
	err := c.fleet.setEvacuated(zone, false)
	for _, i := range list {
		c.fleet.ledger.recordTakenBack(c.fleet.upstream(i).name, from)
	}
	return err
}

// storeName is the store's name among the exemptions.
const storeName = "store"

// coldKey names a time in which an upstream was cold.
type coldKey struct {
	upstream string // Its ID.
	since    int64  // In Unix nanoseconds.
}

// coldArrival is the arrival of a request at a cold upstream.
type coldArrival struct {
	at   time.Time
	told time.Time // From when VMs in touch with the store can know that it is cold; zero: not yet.
	e    *entry
}

// recordCold records an arrival at a cold upstream from the rest of a Cold line.
func (l *ledger) recordCold(line string) {
	var id string
	var key coldKey
	var at, told int64
	if _, err := fmt.Sscan(line, &id, &key.upstream, &at, &key.since, &told); err != nil {
		l.unexpected = append(l.unexpected, line)
		return
	}
	a := coldArrival{at: time.Unix(0, at), e: l.entry(id)}
	if told != 0 {
		a.told = time.Unix(0, told)
	}
	l.colds[key] = append(l.colds[key], a)
}

// recordCheck records a health check from the rest of a Checked line.
func (l *ledger) recordCheck(line string) {
	var upstream string
	var at int64
	if _, err := fmt.Sscan(line, &upstream, &at); err != nil {
		l.unexpected = append(l.unexpected, line)
		return
	}
	l.checks[upstream] = append(l.checks[upstream], time.Unix(0, at))
}

// recordTakenBack records that the evacuation of an upstream's zone was taken back.
func (l *ledger) recordTakenBack(upstream string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takenBack[upstream] = append(l.takenBack[upstream], at)
}

// judgeColds checks what cold upstreams got in each second.
func (l *ledger) judgeColds(r *result, f *fleet) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	const bound = coldMultiplier*standin.ColdPerSecond + coldSlack
	for key, all := range l.colds {
		all = slices.DeleteFunc(slices.Clone(all), func(a coldArrival) bool { return !l.knowable(f, key, a) })
		most := densest(all, func(a coldArrival) time.Time { return a.at })
		r.mostCold = max(r.mostCold, len(most))
		if len(most) <= bound {
			continue
		}
		from, by := most[0].at, make(map[string]int)
		for _, a := range most {
			by[a.e.process]++
		}
		var vms []string
		for process, n := range by {
			vms = append(vms, fmt.Sprintf("%s %d", process, n))
		}
		slices.Sort(vms)
		how := "turned cold"
		if most[0].told.UnixNano() == key.since {
			how = "started cold"
		}
		broken = append(broken, fmt.Sprintf("upstream %s got %d requests in the second from %s, %v after it %s, %v allowed: %s", key.upstream, len(most),
			from.Format("15:04:05.000"), from.Sub(time.Unix(0, key.since)).Round(time.Millisecond), how, bound, strings.Join(vms, ", ")))
	}
	for _, list := range l.checks {
		r.checks += len(list)
		r.mostChecks = max(r.mostChecks, len(densest(list, func(t time.Time) time.Time { return t })))
	}
	slices.Sort(broken)
	return broken
}

// knowable reports whether the VM that sent a request could know that the upstream was cold. Of a
// process that goes on running only its registrations and its health responses tell that, the
// latter to VMs that have started since.
func (l *ledger) knowable(f *fleet, key coldKey, a coldArrival) bool {
	since := time.Unix(0, key.since)
	if a.told.Equal(since) || f.startOf(a.e.process).After(since) {
		return true
	}
	told := !a.told.IsZero() && a.at.Sub(a.told) > coldDelay
	takenBack := slices.ContainsFunc(l.takenBack[upstreamOf(key.upstream)], func(t time.Time) bool {
		return t.After(since) && t.Before(since.Add(standin.ColdStart))
	})
	return (told || takenBack) && !f.exemptions.at(storeName, a.at) && !f.exemptions.at(a.e.vm, a.at)
}

// densest returns the most elements in one window, in order.
func densest[T any](list []T, at func(T) time.Time) (most []T) {
	list = slices.SortedFunc(slices.Values(list), func(a, b T) int { return at(a).Compare(at(b)) })
	from := 0
	for i := range list {
		for at(list[i]).Sub(at(list[from])) > coldWindow {
			from++
		}
		if i+1-from > len(most) {
			most = list[from : i+1]
		}
	}
	return most
}

// startOf returns when a VM's process was started.
func (f *fleet) startOf(process string) time.Time {
	var i, n int
	if _, err := fmt.Sscanf(process, "vm-%d/%d", &i, &n); err != nil {
		return time.Time{}
	}
	v := f.vm(i)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.started[n-1]
}
