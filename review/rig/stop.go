package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case "stop".
const (
	stopVMs     = 4
	stopTargets = 16
	// stopClients keep one connection each, about 3,000 at a VM, and send a request every
	// stopPause on average.
	stopClients = 12_000
	stopPause   = 6 * time.Second
	// stopFiles is how many files the stand-ins open: the clients' connections and those of
	// the VMs to upstreams.
	stopFiles = 13_500
	// Each slowLookups-th client keeps the directory's answers for three times as long as the
	// others.
	slowLookups = 2
	// stopWarmUp is how long clients send before the first stop, and stopFor how long VMs are
	// stopped one after the other, stopGap apart.
	stopWarmUp = 8 * time.Second
	stopFor    = 78 * time.Second
	stopGap    = 1300 * time.Millisecond
	// stopTimeout is the route's timeout, and stopDeadline how long a client waits.
	stopTimeout  = time.Second
	stopDeadline = 1500 * time.Millisecond
)

// playStop stops the VMs in turn and starts them again, while clients with kept connections send
// requests without a body.
func playStop(ctx context.Context, rec *record, trouble bool) ([]string, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return nil, err
	}
	if files.Cur < stopFiles {
		return nil, fmt.Errorf("%d files can be open, and the clients need %d", files.Cur, stopFiles)
	}
	f, err := newFleet(bounds{grace: 6 * time.Second, drain: 2500 * time.Millisecond, ttl: 5 * time.Second, beat: 1500 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for i := range stopVMs {
		if err := f.addVM(zoneNames[i%len(zoneNames)]); err != nil {
			return nil, err
		}
	}
	f.store.put("op", "config", config(7, stopTimeout))
	for i := range stopTargets {
		t := &target{
			id: fmt.Sprintf("i-%02d", i), service: "s", zone: zoneNames[i%len(zoneNames)], slots: 16, queue: 48, runs: f.runs,
			work:     func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(20)) * time.Millisecond },
			size:     func(*http.Request) int { return 400 },
			breakOff: func(*http.Request) bool { return false },
		}
		if err := t.listen(); err != nil {
			return nil, err
		}
		f.targets = append(f.targets, t)
		go t.beat(ctx, f.store, f.bounds.beat)
	}
	if err := f.startAll(ctx); err != nil {
		return nil, err
	}
	seen := &outcomes{}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range stopClients {
		keeps := time.Duration(1)
		if i%slowLookups == 0 {
			keeps = 3
		}
		c := newClient(f, seen, zoneNames[i%len(zoneNames)], keeps)
		wg.Go(func() {
			for pace(sending, stopPause) {
				if rand.IntN(2) == 0 {
					c.send(http.MethodGet, "/get/history", stopDeadline)
				} else {
					c.send(http.MethodDelete, "/post/signoff", stopDeadline)
				}
			}
			c.drop()
		})
	}
	time.Sleep(stopWarmUp)
	for n, end := 0, time.Now().Add(stopFor); time.Now().Before(end); n++ {
		if !trouble {
			time.Sleep(time.Until(end))
			break
		}
		v := f.vms[n%len(f.vms)]
		rec.printf("SIGTERM %s", v.name)
		f.terminate(v)
		rec.printf("%s has exited", v.name)
		if err := f.start(v); err != nil {
			return nil, err
		}
		if err := v.awaitReady(ctx); err != nil {
			return nil, err
		}
		time.Sleep(stopGap)
	}
	stop()
	wg.Wait()
	return judgeStop(f, rec, seen)
}

// judgeStop finds the requests that were passed on to an upstream around a stop of their VM, and
// whose connection ended without a complete answer.
func judgeStop(f *fleet, rec *record, seen *outcomes) (findings []string, err error) {
	stops := make(map[string][]time.Time)
	for _, v := range f.vms {
		stops[v.name] = v.stops
	}
	answered, unanswered := 0, 0
	for _, o := range seen.all() {
		list := f.runs.of(o.ID)
		rec.request(o, list)
		if o.Err == nil {
			answered++
			continue
		}
		unanswered++
		if len(list) == 0 || o.Ended.Sub(o.Sent) >= stopTimeout {
			continue
		}
		for _, at := range stops[o.VM] {
			if o.Ended.After(at) && o.Sent.Before(at.Add(f.bounds.grace+time.Second)) {
				findings = append(findings, fmt.Sprintf("LOST: %s %s (%s) was sent %.3f s after SIGTERM of %s and run at %s; its connection ended %.3f s later without an answer",
					o.Method, o.URI, o.ID, o.Sent.Sub(at).Seconds(), o.VM, list[0].Target, o.Ended.Sub(o.Sent).Seconds()))
			}
		}
	}
	fmt.Printf("answered: %d, not answered: %d, lost: %d\n", answered, unanswered, len(findings))
	if answered < minAnswered {
		return nil, fmt.Errorf("only %d requests were answered", answered)
	}
	return findings, nil
}
