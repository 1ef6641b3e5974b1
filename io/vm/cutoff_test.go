package vm

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/dispatch"
)

// cutCallers send reads and bookings to one VM, one after the other.
type cutCallers struct {
	f    *fleet
	v    *runningVM
	name string
	stop chan struct{}
	wait sync.WaitGroup

	mu   sync.Mutex
	list []cutAnswer
}

// cutAnswer is the result of a first attempt.
type cutAnswer struct {
	key    string // Of a booking.
	sent   time.Time
	status int
}

const (
	cutCallInterval = 100 * time.Millisecond
	// cutTimeout is when a caller gives up.
	cutTimeout = 2 * time.Second
)

func (f *fleet) startCalls(v *runningVM, name string) *cutCallers {
	c := &cutCallers{f: f, v: v, name: name, stop: make(chan struct{})}
	c.wait.Go(func() { c.run(false) })
	c.wait.Go(func() { c.run(true) })
	return c
}

// run sends reads or bookings until the calls end.
func (c *cutCallers) run(book bool) {
	client := &http.Client{Timeout: cutTimeout}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(cutCallInterval):
			c.ask(client, book, n)
		}
	}
}

func (c *cutCallers) ask(client *http.Client, book bool, n int) {
	a := cutAnswer{sent: time.Now()}
	method, body := http.MethodGet, ""
	if book {
		method, body, a.key = http.MethodPost, "order", fmt.Sprint(c.name, n)
	}
	req, err := http.NewRequest(method, "http://"+c.v.cfg.CallerAddr+"/istoric/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if book {
		for name, value := range keyed(a.key) {
			req.Header.Set(name, value)
		}
	}
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
		a.status = resp.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, a)
}

// end ends the calls, and fails if a booking ran twice, or ran and was refused.
func (c *cutCallers) end() {
	close(c.stop)
	c.wait.Wait()
	for _, a := range c.list {
		if a.key == "" {
			continue
		}
		if runs := c.f.runs(a.key); runs > 1 || runs > 0 && a.status == http.StatusServiceUnavailable {
			c.f.t.Errorf("booking %s: status %d, and ran %d times", a.key, a.status, runs)
		}
	}
}

// served returns how many of the attempts sent in a span were served, and how many were sent.
func (c *cutCallers) served(from, to time.Time) (n, of int) {
	for _, a := range c.list {
		if a.sent.Before(from) || !a.sent.Before(to) {
			continue
		}
		of++
		if a.status == http.StatusOK {
			n++
		}
	}
	return n, of
}

// Guards against a VM that loses its links to all upstreams of its zone, while the others of the
// zone reach them, and keeps its slots, fails its callers and reports the upstreams as down.
func TestCutOffVMPassesItsRequestsOn(t *testing.T) {
	for name, silent := range map[string]bool{"refused": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "z1", "z2")
			a := f.start("a", "z1")
			f.start("b", "z1")
			f.start("c", "z1")
			f.start("d", "z2")
			f.apply(a)
			f.waitServing()
			dispatchers := a.pool.Dispatchers("istoric")
			cutOff, other := f.vms[dispatchers[0]], f.vms[dispatchers[1]]
			callsA, callsB := f.startCalls(cutOff, "a"), f.startCalls(other, "b")
			<-time.After(time.Second)
			cut := time.Now()
			cutOff.links.mu.Lock()
			cutOff.links.silent = silent
			cutOff.links.mu.Unlock()
			for _, target := range f.inv.Targets {
				cutOff.links.set(true, target.Addr)
			}
			<-time.After(4 * time.Second)
			for _, v := range f.vms {
				for _, target := range v.pool.Targets() {
					if v != cutOff && target.Health == dispatch.Down {
						t.Errorf("%s takes %s for down", v.cfg.Name, target.Target)
					}
				}
				if n := v.guard.Ledger().Counts().Suspects; n > 0 {
					t.Errorf("%s suspects %d requests", v.cfg.Name, n)
				}
			}
			returned := time.Now()
			for _, target := range f.inv.Targets {
				cutOff.links.set(false, target.Addr)
			}
			<-time.After(2 * time.Second)
			end := time.Now()
			callsA.end()
			callsB.end()
			for _, span := range []struct {
				name     string
				from, to time.Time
			}{{"from 2 s after the cut", cut.Add(2 * time.Second), returned}, {"when the links are back", returned, end.Add(-time.Second)}} {
				n, of := callsA.served(span.from, span.to)
				otherN, otherOf := callsB.served(span.from, span.to)
				t.Logf("%s: served %d of %d at the cut-off VM, %d of %d at another", span.name, n, of, otherN, otherOf)
				if of == 0 || otherOf == 0 || float64(n)/float64(of) < 0.9*float64(otherN)/float64(otherOf) || float64(otherN) < 0.98*float64(otherOf) {
					t.Errorf("%s: served %d of %d at the cut-off VM, %d of %d at another", span.name, n, of, otherN, otherOf)
				}
			}
		})
	}
}
