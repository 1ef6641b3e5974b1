package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case "behind".
const (
	behindVMs     = 6
	behindTargets = 24
	behindClients = 60
	// calmFor is how long all runs without trouble before and after; garbledFor is how long
	// upstreams break off responses.
	calmFor    = 4 * time.Second
	garbledFor = 5500 * time.Millisecond
	// garbledTimes is how often that happens.
	garbledTimes = 6
	// garbledShare is the share of the upstreams that break off, and brokenShare the share of
	// their responses.
	garbledShare = 0.5
	brokenShare  = 0.02
	// lostAllowed is how many times a VM may close a connection of which it has passed a
	// request on to a sound upstream, without an answer.
	lostAllowed = 3
	// The sizes of responses in bytes.
	minResponse, maxResponse = 400_000, 1_000_000
	// minAnswered is the least number of answers without which a run shows nothing.
	minAnswered = 1000
	// behindDeadline is how long a client waits, and behindTimeout the route's timeout.
	behindDeadline = 20 * time.Second
	behindTimeout  = 8 * time.Second
)

// playBehind has clients send look-ups before the one ahead has been answered, while some
// upstreams break off responses.
func playBehind(ctx context.Context, rec *record, trouble bool) ([]string, error) {
	f, err := newFleet(bounds{grace: 6 * time.Second, drain: 2500 * time.Millisecond, ttl: 5 * time.Second, beat: 1500 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for i := range behindVMs {
		if err := f.addVM(zoneNames[i%len(zoneNames)]); err != nil {
			return nil, err
		}
	}
	f.store.put("op", "config", config(7, behindTimeout))
	var garbling atomic.Bool
	garbled := make(map[string]bool)
	for i := range behindTargets {
		t := &target{
			id: fmt.Sprintf("i-%02d", i), service: "s", zone: zoneNames[i%len(zoneNames)], slots: 4, queue: 12, runs: f.runs,
			work:     func(*http.Request) time.Duration { return time.Duration(40+rand.IntN(80)) * time.Millisecond },
			size:     func(*http.Request) int { return minResponse + rand.IntN(maxResponse-minResponse) },
			breakOff: func(*http.Request) bool { return false },
		}
		if float64(i) < garbledShare*behindTargets {
			garbled[t.id] = true
			t.breakOff = func(*http.Request) bool { return garbling.Load() && rand.Float64() < brokenShare }
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
	for i := range behindClients {
		c := newClient(f, seen, zoneNames[i%len(zoneNames)], 1)
		wg.Go(func() {
			for pace(sending, 500*time.Millisecond) {
				c.sendBehind("/get/history", 3+rand.IntN(3), 10*time.Millisecond, behindDeadline)
			}
			c.drop()
		})
	}
	for range garbledTimes {
		time.Sleep(calmFor)
		garbling.Store(trouble)
		rec.printf("upstreams break off responses: %t", trouble)
		time.Sleep(garbledFor)
		garbling.Store(false)
		rec.printf("upstreams no longer break off responses")
	}
	stop()
	wg.Wait()
	return judgeBehind(f, rec, seen, garbled)
}

// judgeBehind counts, for each VM, the requests that it passed on to a sound upstream and whose
// connection it then closed without an answer.
func judgeBehind(f *fleet, rec *record, seen *outcomes, garbled map[string]bool) (findings []string, err error) {
	lost, answered := make(map[string]int), 0
	for _, o := range seen.all() {
		list := f.runs.of(o.ID)
		rec.request(o, list)
		sound := len(list) > 0 && !slices.ContainsFunc(list, func(x run) bool { return garbled[x.Target] })
		switch {
		case o.Err == nil:
			answered++
			if o.Status == http.StatusOK && !o.Intact {
				findings = append(findings, fmt.Sprintf("MIXED: request %s got the answer to another one", o.ID))
			}
		case errors.Is(o.Err, errClosedAhead), !o.Kept, !sound, o.Ended.Sub(o.Sent) >= o.Deadline:
		default:
			lost[o.VM]++
		}
	}
	fmt.Println("answered:", answered, "lost by VM:", lost)
	for vm, n := range lost {
		rec.printf("%s closed a connection without an answer to a request at a sound upstream %d times", vm, n)
		if n > lostAllowed {
			findings = append(findings, fmt.Sprintf("LOST: %s did so %d times, more than %d", vm, n, lostAllowed))
		}
	}
	if answered < minAnswered {
		return nil, fmt.Errorf("only %d requests were answered", answered)
	}
	return findings, nil
}
