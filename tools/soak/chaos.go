package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnlatch/platform"
	"auburnlatch/platform/standin"
)

const (
	// callers ask all the time, each about every callEvery.
	callers   = 16
	callEvery = 25 * time.Millisecond
	// settle is how long the fleet has from its start, and after the last fault,
	// until it must serve.
	settle = 6 * time.Second
	// calmFor is how long it is watched after that.
	calmFor = 3 * time.Second
	// faultEvery is the mean time between two faults.
	faultEvery = 700 * time.Millisecond
	// faultFor is the longest time a fault lasts.
	faultFor = 2 * time.Second
)

// fault is one thing that goes wrong. It returns when it is over.
type fault struct {
	name string
	run  func(f *fleet, which int, lasts time.Duration) error
}

// faults are those that a schedule draws from.
var faults = []fault{
	{"vmKilled", func(f *fleet, i int, _ time.Duration) error { return f.vm(i).restart(syscall.SIGKILL) }},
	{"vmStopped", func(f *fleet, i int, _ time.Duration) error { return f.vm(i).restart(syscall.SIGTERM) }},
	{"vmPaused", func(f *fleet, i int, d time.Duration) error {
		defer f.excuses.begin(f.vm(i).name)()
		return paused(f.vm(i).process, d)
	}},
	{"vmReloaded", func(f *fleet, i int, _ time.Duration) error { f.vm(i).signal(syscall.SIGHUP); return nil }},
	{"storePaused", func(f *fleet, _ int, d time.Duration) error { return paused(f.store, d) }},
	{"storePathFaulty", func(f *fleet, i int, d time.Duration) error { return faulty(f.vm(i).store, i, d) }},
	{"upstreamKilled", func(f *fleet, i int, _ time.Duration) error { return f.upstream(i).restart(syscall.SIGKILL) }},
	{"upstreamDrained", func(f *fleet, i int, _ time.Duration) error { return f.upstream(i).restart(syscall.SIGTERM) }},
	{"upstreamPaused", func(f *fleet, i int, d time.Duration) error {
		defer f.excuses.begin(f.upstream(i).name)()
		return paused(f.upstream(i).process, d)
	}},
	{"upstreamPathFaulty", func(f *fleet, i int, d time.Duration) error {
		defer f.excuses.begin(f.upstream(i).name)()
		return faulty(f.upstream(i).path, i, d)
	}},
	{"poisonSent", func(f *fleet, i int, d time.Duration) error { f.sendPoison(i, d); return nil }},
	{"rulesChanged", func(f *fleet, _ int, _ time.Duration) error { return f.setConfig() }},
	{"zoneEvacuated", func(f *fleet, i int, d time.Duration) error {
		zone, _ := zoneOf(i)
		if err := f.operator().Evacuate(zone); err != nil {
			return err
		}
		<-time.After(d)
		return f.operator().Return(zone)
	}},
}

func (f *fleet) vm(i int) *vm                 { return f.vms[i%len(f.vms)] }
func (f *fleet) upstream(i int) *upstreamProc { return f.upstreams[i%len(f.upstreams)] }

// poisonEvery is the time between two sendings of the request that ends upstreams.
const poisonEvery = 60 * time.Millisecond

// sendPoison sends the request that ends upstreams to one VM after the other for a while,
// under a new ID each time.
func (f *fleet) sendPoison(first int, d time.Duration) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var wait sync.WaitGroup
	for i, end := first, time.Now().Add(d); time.Now().Before(end); i++ {
		wait.Add(1)
		go (&poisoner{f, client, f.vm(i), &wait}).run()
		<-time.After(poisonEvery)
	}
	wait.Wait()
}

// lastPoison sends the request once more to all VMs when all faults are over, where it has
// ended enough upstreams for them to know it. Else it would only end the fleet's few.
type lastPoison struct {
	fleet *fleet
	wait  *sync.WaitGroup
}

func (l *lastPoison) run() {
	defer l.wait.Done()
	if l.fleet.ledger.poisonRuns() >= poisonEnds {
		l.fleet.sendPoison(0, calmFor/2)
	}
}

// poisoner sends it once.
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
	p.fleet.ledger.poisoned(id, p.vm)
	if resp, err := p.client.Do(req); err == nil {
		resp.Body.Close()
	}
}

func paused(p *process, d time.Duration) error {
	p.signal(syscall.SIGSTOP)
	<-time.After(d)
	p.signal(syscall.SIGCONT)
	return nil
}

func faulty(p *proxy, i int, d time.Duration) error {
	p.mode.Store(int32(1 + i%(len(modeNames)-1)))
	<-time.After(d)
	p.mode.Store(int32(pass))
	return nil
}

// chaos injects faults on a schedule that a seed gives.
type chaos struct {
	fleet  *fleet
	rnd    *rand.Rand
	mu     sync.Mutex
	names  []string
	faults []moment
	errs   []error
	busy   map[string]*sync.Mutex // One fault at a time for each subject.
	wait   sync.WaitGroup
}

// run injects faults until the end and returns when the last is over.
func (c *chaos) run(end time.Time) {
	for time.Now().Before(end) {
		f := faults[c.rnd.IntN(len(faults))]
		which, lasts := c.rnd.IntN(1000), time.Duration(c.rnd.Int64N(int64(faultFor)))
		pause := time.Duration(c.rnd.ExpFloat64() * float64(faultEvery))
		c.names = append(c.names, f.name)
		c.faults = append(c.faults, moment{f.name, time.Now()})
		c.wait.Add(1)
		go (&injection{c, f, which, lasts}).run()
		<-time.After(pause)
	}
	c.wait.Wait()
}

type injection struct {
	chaos *chaos
	fault fault
	which int
	lasts time.Duration
}

// run waits for an earlier fault of the same subject, then injects this one.
func (i *injection) run() {
	defer i.chaos.wait.Done()
	lock := i.chaos.lock(i.fault.name, i.which)
	lock.Lock()
	defer lock.Unlock()
	i.chaos.failed(i.fault.name, i.fault.run(i.chaos.fleet, i.which, i.lasts))
}

// failed notes a fault that could not be injected.
func (c *chaos) failed(name string, err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, fmt.Errorf("%s: %w", name, err))
}

// lock returns the lock of what a fault is about.
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
	if c.busy[subject] == nil {
		c.busy[subject] = &sync.Mutex{}
	}
	return c.busy[subject]
}

// caller asks all the time, on kept connections, whatever happens to them.
type caller struct {
	fleet  *fleet
	number int
	rnd    *rand.Rand
	client *http.Client
	wait   *sync.WaitGroup
}

// run asks until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.wait.Done()
	for n := 0; ctx.Err() == nil; n++ {
		c.ask(fmt.Sprintf("c%d-%d", c.number, n))
		<-time.After(time.Duration(c.rnd.ExpFloat64() * float64(callEvery)))
	}
}

// ask sends one request. One whose connection cannot be opened was not asked.
func (c *caller) ask(id string) {
	once := c.rnd.IntN(2) == 0
	method, path, body := http.MethodGet, "/get/1", ""
	if once {
		method, path, body = http.MethodPost, "/post/1", strings.Repeat("x", c.rnd.IntN(30_000))
	}
	v := c.fleet.vms[c.rnd.IntN(len(c.fleet.vms))]
	// A body that cannot be made anew, so that the library sends nothing twice.
	req, err := http.NewRequest(method, "http://"+v.front+path, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	p := platform.Protocol()
	req.Host = "h"
	req.Header.Set(p.RequestID, id)
	req.Header.Set(p.DeadlineMillis, "1500")
	c.fleet.ledger.asked(id, v, once)
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	c.fleet.ledger.answered(id, resp.StatusCode, string(got) == standin.Answer(id, []byte(body)))
}

// runSeed plays one seed.
func runSeed(ctx context.Context, cmd *runCmd, seed uint64) (*result, error) {
	f, err := startFleet(ctx, cmd)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	<-time.After(settle / 2)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Add(1)
		c := &caller{
			fleet: f, number: i, rnd: rand.New(rand.NewPCG(seed, uint64(i))), wait: &wait,
			client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		}
		go c.run(ctx)
	}
	for i := range pipeliners {
		wait.Add(1)
		go (&pipeliner{fleet: f, number: i, rnd: rand.New(rand.NewPCG(seed, uint64(3000+i))), wait: &wait}).run(ctx)
	}
	wait.Add(1)
	asks := &prober{fleet: f, rnd: rand.New(rand.NewPCG(seed, 2000)), client: &http.Client{Timeout: 3 * time.Second}, wait: &wait}
	go asks.run(ctx)
	ch := &chaos{fleet: f, rnd: rand.New(rand.NewPCG(seed, 1000)), busy: make(map[string]*sync.Mutex)}
	end := time.Now().Add(cmd.For)
	says := &notices{fleet: f, chaos: ch, rnd: rand.New(rand.NewPCG(seed, 4000))}
	var said sync.WaitGroup
	if cmd.Notices {
		said.Go(func() { says.run(ctx, end) })
	}
	ch.run(end)
	said.Wait()
	calm := time.Now().Add(settle)
	<-time.After(time.Until(calm))
	wait.Add(1)
	go (&lastPoison{f, &wait}).run()
	<-time.After(calmFor)
	cancel()
	wait.Wait()
	<-time.After(time.Second) // For what upstreams still run and report.
	versions := f.versionsSoFar()
	r := &result{seed: seed, faults: ch.names, began: began, moments: ch.faults, probed: len(asks.probes), versions: len(versions)}
	f.ledger.judge(r, calm)
	r.broken = append(r.broken, f.ledger.judgeNotices(&f.excuses)...)
	r.broken = append(r.broken, judgeRules(asks.probes, versions)...)
	r.broken = append(r.broken, f.endedByThemselves()...)
	for _, err := range ch.errs {
		r.broken = append(r.broken, "the soak itself failed: "+err.Error())
	}
	if len(r.broken) > 0 && cmd.Logs != "" {
		return r, f.keepLogs(cmd.Logs, seed)
	}
	return r, nil
}

// keepLogs saves the VMs' logs of a seed.
func (f *fleet) keepLogs(dir string, seed uint64) error {
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
