package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnlatch/platform"
	"auburnlatch/platform/standin"
)

const (
	// callers is the number of concurrent callers. Each sends a request about every
	// callInterval.
	callers      = 16
	callInterval = 25 * time.Millisecond
	// settleTime is the time after the fleet's start, and again after the last fault, by
	// which the fleet must serve.
	settleTime = 6 * time.Second
	// observeTime is how long the fleet is observed after that.
	observeTime = 3 * time.Second
	// faultInterval is the mean time between two faults.
	faultInterval = 700 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 2 * time.Second
)

// fault is a kind of fault. run injects it and returns when it is over.
type fault struct {
	name string
	run  func(f *fleet, which int, lasts time.Duration) error
}

// faults are the kinds that a schedule selects from at random.
var faults = []fault{
	{"vmKilled", func(f *fleet, i int, _ time.Duration) error { return f.vm(i).restart(syscall.SIGKILL) }},
	{"vmStopped", func(f *fleet, i int, _ time.Duration) error { return f.vm(i).restart(syscall.SIGTERM) }},
	{"vmPaused", func(f *fleet, i int, d time.Duration) error {
		defer f.exemptions.begin(f.vm(i).name)()
		return pauseProcess(f.vm(i).process, d)
	}},
	{"vmReloaded", func(f *fleet, i int, _ time.Duration) error { f.vm(i).signal(syscall.SIGHUP); return nil }},
	{"storePaused", func(f *fleet, _ int, d time.Duration) error { return pauseProcess(f.store, d) }},
	{"storePathFaulty", func(f *fleet, i int, d time.Duration) error { return impairPath(f.vm(i).store, i, d) }},
	{"upstreamKilled", func(f *fleet, i int, _ time.Duration) error { return f.upstream(i).restart(syscall.SIGKILL) }},
	{"upstreamDrained", func(f *fleet, i int, _ time.Duration) error { return f.upstream(i).restart(syscall.SIGTERM) }},
	{"upstreamPaused", func(f *fleet, i int, d time.Duration) error {
		defer f.exemptions.begin(f.upstream(i).name)()
		return pauseProcess(f.upstream(i).process, d)
	}},
	{"upstreamPathFaulty", func(f *fleet, i int, d time.Duration) error {
		defer f.exemptions.begin(f.upstream(i).name)()
		return impairPath(f.upstream(i).path, i, d)
	}},
	{"poisonSent", func(f *fleet, i int, d time.Duration) error { f.sendPoison(i, d); return nil }},
	{"rulesChanged", func(f *fleet, _ int, _ time.Duration) error { return f.setConfig() }},
	{"zoneEvacuated", func(f *fleet, i int, d time.Duration) error {
		zone, _ := zoneOf(i)
		if err := f.setEvacuated(zone, true); err != nil {
			return err
		}
		<-time.After(d)
		return f.setEvacuated(zone, false)
	}},
}

func (f *fleet) vm(i int) *vm                 { return f.vms[i%len(f.vms)] }
func (f *fleet) upstream(i int) *upstreamProc { return f.upstreams[i%len(f.upstreams)] }

// poisonInterval is the time between two poison requests.
const poisonInterval = 60 * time.Millisecond

// sendPoison sends the poison request to one VM after another for d, each time with a new
// request ID.
func (f *fleet) sendPoison(first int, d time.Duration) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var wait sync.WaitGroup
	for i, end := first, time.Now().Add(d); time.Now().Before(end); i++ {
		wait.Add(1)
		go (&poisoner{f, client, f.vm(i), &wait}).run()
		<-time.After(poisonInterval)
	}
	wait.Wait()
}

// lastPoison sends the poison request to all VMs again when all faults are over, if it has
// crashed enough upstreams to be banned. Otherwise it would only crash the fleet's few
// upstreams.
type lastPoison struct {
	fleet *fleet
	wait  *sync.WaitGroup
}

func (l *lastPoison) run() {
	defer l.wait.Done()
	if l.fleet.ledger.poisonRuns() >= poisonCrashes {
		l.fleet.sendPoison(0, observeTime/2)
	}
}

// poisoner sends one poison request.
type poisoner struct {
	fleet  *fleet
	client *http.Client
	vm     *vm
	wait   *sync.WaitGroup
}

func (p *poisoner) run() {
	defer p.wait.Done()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.vm.front+standin.PoisonPath, http.NoBody)
	if err != nil {
		return
	}
	id := fmt.Sprint("poison-", p.fleet.poisons.Add(1))
	req.Host = "h"
	req.Header.Set(platform.Protocol().RequestID, id)
	req.Header.Set(platform.Protocol().DeadlineMillis, "1500")
	p.fleet.ledger.recordPoison(id, p.vm)
	if resp, err := p.client.Do(req); err == nil {
		resp.Body.Close()
	}
}

func pauseProcess(p *process, d time.Duration) error {
	p.signal(syscall.SIGSTOP)
	<-time.After(d)
	p.signal(syscall.SIGCONT)
	return nil
}

func impairPath(p *proxy, i int, d time.Duration) error {
	p.mode.Store(int32(1 + i%(len(modeNames)-1)))
	<-time.After(d)
	p.mode.Store(int32(pass))
	return nil
}

// chaos injects faults on a schedule that is determined by a seed.
type chaos struct {
	fleet  *fleet
	rnd    *rand.Rand
	mu     sync.Mutex
	names  []string
	faults []injectedFault
	errs   []error
	locks  map[string]*sync.Mutex // By subject, so that it has one fault at a time.
	wait   sync.WaitGroup
}

// run injects faults until end and returns when the last one is over.
func (c *chaos) run(end time.Time) {
	kinds := faults
	if c.fleet.shapes {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(planned, f.name) })
	}
	if c.fleet.colds {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(besideColds, f.name) })
	}
	for time.Now().Before(end) {
		f := kinds[c.rnd.IntN(len(kinds))]
		which, lasts := c.rnd.IntN(1000), time.Duration(c.rnd.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(c.rnd.ExpFloat64() * float64(faultInterval))
		c.recordFault(f.name)
		c.wait.Add(1)
		go (&injection{c, f, which, lasts}).run()
		<-time.After(pause)
	}
	c.wait.Wait()
}

// injection is one run of a fault.
type injection struct {
	chaos *chaos
	fault fault
	which int
	lasts time.Duration
}

// run waits until earlier faults of the same subject are over, then injects this one.
func (i *injection) run() {
	defer i.chaos.wait.Done()
	lock := i.chaos.lock(i.fault.name, i.which)
	lock.Lock()
	defer lock.Unlock()
	i.chaos.recordError(i.fault.name, i.fault.run(i.chaos.fleet, i.which, i.lasts))
}

// recordFault records the begin of a fault.
func (c *chaos) recordFault(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = append(c.names, name)
	c.faults = append(c.faults, injectedFault{name, time.Now()})
}

// recordError records that a fault could not be injected.
func (c *chaos) recordError(name string, err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, fmt.Errorf("%s: %w", name, err))
}

// lock returns the lock of a fault's subject.
func (c *chaos) lock(name string, which int) *sync.Mutex {
	subject := name
	switch {
	case strings.HasPrefix(name, "vm"):
		subject = c.fleet.vm(which).name
	case strings.HasPrefix(name, "upstream"):
		subject = c.fleet.upstream(which).name
	case strings.HasPrefix(name, "zone"):
		zone, _ := zoneOf(which)
		subject = zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.locks[subject] == nil {
		c.locks[subject] = &sync.Mutex{}
	}
	return c.locks[subject]
}

// caller sends requests continuously on persistent connections, whether or not they fail.
type caller struct {
	fleet  *fleet
	number int
	rnd    *rand.Rand
	client *http.Client
	wait   *sync.WaitGroup
}

// callTime is the time that callers give a request.
const callTime = 1500 * time.Millisecond

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		began, id := time.Now(), fmt.Sprintf("c%d-%d", c.number, n)
		per := 2
		if c.fleet.kills {
			per = killOnce
		}
		once := c.rnd.IntN(per) == 0
		if wait := c.ask(id, once, callTime); wait > 0 && c.fleet.returns {
			wait = min(wait, callTime/3)
			<-time.After(wait)
			c.ask(id+"-back", once, callTime-wait)
		}
		if c.fleet.kills {
			<-time.After(time.Until(began.Add(pacedInterval)))
			continue
		}
		<-time.After(time.Duration(c.rnd.ExpFloat64() * float64(callInterval)))
	}
}

// ask sends one request. If it is refused, ask returns when the caller is to come back.
func (c *caller) ask(id string, once bool, left time.Duration) (wait time.Duration) {
	method, path, body := http.MethodGet, "/get/1", ""
	if once {
		method, path, body = http.MethodPost, "/post/1", strings.Repeat("x", c.rnd.IntN(30_000))
	}
	home := c.fleet.homes && once && c.rnd.IntN(4) == 0
	if home {
		path = standin.HomePath
	}
	split := c.fleet.splits && !once && c.rnd.IntN(3) > 0
	if split {
		path = standin.SplitPath
	}
	v := c.fleet.vms[c.rnd.IntN(len(c.fleet.vms))]
	if called := c.fleet.called.Load(); called != nil {
		v = c.fleet.vms[(*called)[c.rnd.IntN(len(*called))]]
	}
	// The body cannot be rewound, so net/http does not retry the request.
	req, err := http.NewRequest(method, "http://"+v.front+path, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return 0
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	p := platform.Protocol()
	req.Host = "h"
	req.Header.Set(p.RequestID, id)
	req.Header.Set(p.DeadlineMillis, fmt.Sprint(left.Milliseconds()))
	if c.fleet.objects {
		req.Header.Set("Cookie", fmt.Sprint("X-Affinity-Key=", c.number))
	}
	c.fleet.ledger.recordRequest(id, v, once)
	if home {
		c.fleet.ledger.recordHome(id)
	}
	if split {
		c.fleet.ledger.recordSplit(id)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	c.fleet.ledger.recordResponse(id, resp.StatusCode, string(got) == standin.Answer(id, []byte(body)))
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// runSeed runs one seed and checks its results.
func runSeed(ctx context.Context, cmd *runCmd, seed uint64) (*result, error) {
	f, err := startFleet(ctx, cmd)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	<-time.After(settleTime / 2)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Add(1)
		c := &caller{
			fleet: f, number: i, rnd: rand.New(rand.NewPCG(seed, uint64(i))), wait: &wait,
			client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		}
		go c.run(ctx)
	}
	var shaping []*shaper
	for i := range shapersOf(cmd) {
		wait.Add(1)
		sh := &shaper{fleet: f, number: i, rnd: rand.New(rand.NewPCG(seed, uint64(8000+i))), wait: &wait}
		shaping = append(shaping, sh)
		go sh.run(ctx)
	}
	for i := range pipeliners {
		wait.Add(1)
		go (&pipeliner{fleet: f, number: i, rnd: rand.New(rand.NewPCG(seed, uint64(3000+i))), wait: &wait}).run(ctx)
	}
	wait.Add(1)
	pr := &prober{fleet: f, rnd: rand.New(rand.NewPCG(seed, 2000)), client: &http.Client{Timeout: 3 * time.Second}, wait: &wait}
	go pr.run(ctx)
	ch := &chaos{fleet: f, rnd: rand.New(rand.NewPCG(seed, 1000)), locks: make(map[string]*sync.Mutex)}
	end := time.Now().Add(cmd.For)
	injector := &noticeInjector{fleet: f, chaos: ch, rnd: rand.New(rand.NewPCG(seed, 4000))}
	var injecting sync.WaitGroup
	if cmd.Notices {
		injecting.Go(func() { injector.run(ctx, end) })
	}
	stores := &restorer{fleet: f, chaos: ch, rnd: rand.New(rand.NewPCG(seed, 5000))}
	if cmd.Restores {
		injecting.Go(func() { stores.run(ctx, end) })
	}
	cuts := &cutter{fleet: f, rnd: rand.New(rand.NewPCG(seed, 6000))}
	if cmd.Cuts {
		injecting.Go(func() { cuts.run(ctx, end) })
	}
	kills := &killer{fleet: f, chaos: ch, rnd: rand.New(rand.NewPCG(seed, 7000))}
	if cmd.Kills {
		injecting.Go(func() { kills.run(ctx, end) })
	}
	colds := &cooler{fleet: f, chaos: ch, rnd: rand.New(rand.NewPCG(seed, 9000))}
	if cmd.Colds {
		injecting.Go(func() { colds.run(ctx, end) })
	}
	ch.run(end)
	injecting.Wait()
	if cmd.Cuts {
		<-time.After(settleTime)
		cuts.runLast()
		<-time.After(observeTime)
	}
	if cmd.Weights {
		ch.recordError("weights", f.changeWeights(false))
	}
	calm := time.Now().Add(settleTime)
	<-time.After(time.Until(calm))
	var changed time.Time
	if cmd.Weights {
		ch.recordError("weights", f.changeWeights(true))
		<-time.After(calmRulesDelay)
		changed = time.Now()
	}
	wait.Add(1)
	go (&lastPoison{f, &wait}).run()
	<-time.After(observeTime)
	cancel()
	wait.Wait()
	<-time.After(time.Second) // Upstreams may still run requests and report them.
	versions := f.versionsSoFar()
	r := &result{seed: seed, faults: ch.names, began: began, injected: ch.faults, probed: len(pr.probes), versions: len(versions)}
	r.kills, r.colds = kills.count, colds.count
	for _, sh := range shaping {
		r.broken = append(r.broken, sh.broken...)
	}
	f.ledger.judge(r, calm)
	r.broken = append(r.broken, f.ledger.judgeNotices(&f.exemptions)...)
	r.broken = append(r.broken, judgeRules(pr.probes, versions)...)
	if cmd.Weights {
		r.broken = append(r.broken, f.ledger.judgeSplits(versions, changed)...)
	}
	r.broken = append(r.broken, f.ledger.judgeColds(r, f)...)
	if cmd.Restores {
		r.restores = stores.count
		r.broken = append(r.broken, f.judgeStore()...)
	}
	if cmd.Cuts {
		r.cuts = cuts.count
		r.broken = append(r.broken, cuts.judge(f.ledger)...)
	}
	r.broken = append(r.broken, f.unexpectedExits()...)
	for _, err := range ch.errs {
		r.broken = append(r.broken, "the soak itself failed: "+err.Error())
	}
	if len(r.broken) > 0 && cmd.Logs != "" {
		return r, f.saveLogs(cmd.Logs, seed)
	}
	return r, nil
}

// saveLogs writes the VMs' logs of a seed to files in a directory under dir.
func (f *fleet) saveLogs(dir string, seed uint64) error {
	dir = filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, v := range f.vms {
		if err := os.WriteFile(filepath.Join(dir, v.name+".log"), []byte(v.logs.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
