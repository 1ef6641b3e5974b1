package vm

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/schema"
)

const (
	// lateGrace is the grace period, before which a VM takes requests for 0.3 s. Its work ends 0.15 s
	// before the end of the period.
	lateGrace = 1500 * time.Millisecond
	lateEnd   = 1650 * time.Millisecond
)

// startLate starts a VM that is to be stopped while upstreams work, and another one of its zone, which
// takes over its slots.
func startLate(t *testing.T, grace time.Duration) (*fleet, *runningVM) {
	t.Helper()
	f := newFleet(t, "z1")
	f.timing.StopGrace = grace
	return f, f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z1"})
}

// lateStop stops a VM, and returns what its Run will return.
func (f *fleet) lateStop(v *runningVM) (stopped time.Time, ended <-chan error) {
	done := make(chan error, 1)
	stopped = time.Now()
	go func() { done <- f.leave(v.cfg.Name) }()
	f.waitFor("the VM leaves", v.leaving.Load)
	<-time.After(20 * time.Millisecond)
	return stopped, done
}

// answer is a response that a test waits for.
type answer struct {
	resp *http.Response
	body string
	took time.Duration
}

// begin sends a request and returns a channel of its answer.
func (f *fleet) begin(v *runningVM, method, path string, body io.Reader, header map[string]string) <-chan answer {
	got := make(chan answer, 1)
	go func() {
		began := time.Now()
		resp, text := f.send(v, method, path, body, header)
		got <- answer{resp, text, time.Since(began)}
	}()
	return got
}

func wantLeaving(t *testing.T, what string, a answer) {
	t.Helper()
	if a.resp == nil {
		t.Fatalf("%s: no response: %s", what, a.body)
	}
	h := a.resp.Header
	if a.resp.StatusCode != http.StatusServiceUnavailable || h.Get(forward.HeaderVerdict) != "NotRun" || h.Get(forward.HeaderReason) != string(verdict.ReasonLeaving) {
		t.Errorf("%s: status %d, %s %s; want 503, NotRun, Leaving", what, a.resp.StatusCode, h.Get(forward.HeaderVerdict), h.Get(forward.HeaderReason))
	}
	if h.Get("Retry-After") == "" || !a.resp.Close {
		t.Errorf("%s: Retry-After %q, close: %v; want both", what, h.Get("Retry-After"), a.resp.Close)
	}
}

// Guards against requests that a stopping VM sends on although they cannot end before it does.
func TestStopRefusesRequestsThatCannotEnd(t *testing.T) {
	f, a := startLate(t, lateGrace)
	f.setFaults("z1", &schema.UpstreamFaults{WorkMs: int32(lateEnd.Milliseconds())})
	before := f.totalRuns()
	stopped, _ := f.lateStop(a)
	for _, tc := range []struct {
		method, path string
		header       map[string]string
	}{
		{http.MethodPost, "/istoric/slots", keyed("late")},
		{http.MethodPost, "/istoric/slots", map[string]string{"Idempotency-Key": "timed", forward.HeaderCaller: "depot", forward.HeaderTimeout: "5000"}},
		{http.MethodGet, "/istoric/x", nil},
		{http.MethodPut, "/istoric/x", nil},
	} {
		got := <-f.begin(a, tc.method, tc.path, strings.NewReader("order"), tc.header)
		wantLeaving(t, tc.method, got)
		if got.took > 200*time.Millisecond {
			t.Errorf("%s: refused after %v, want at once", tc.method, got.took)
		}
	}
	if took := time.Since(stopped); took > 300*time.Millisecond {
		t.Logf("the last request was sent %v after the stop, when the VM refuses all", took)
	}
	if n := f.totalRuns() - before; n != 0 {
		t.Errorf("%d of the refused requests ran", n)
	}
}

// totalRuns returns how many requests ran at the upstreams.
func (f *fleet) totalRuns() (n uint64) {
	for _, u := range f.upstreams {
		n += u.Stats().GetRuns()
	}
	return n
}

// Guards against a stop that refuses requests which would have ended in time.
func TestStopServesRequestsThatCanEnd(t *testing.T) {
	f, a := startLate(t, lateGrace)
	for range 25 {
		read(f, a)
	}
	f.setFaults("z1", &schema.UpstreamFaults{WorkMs: 500})
	_, ended := f.lateStop(a)
	inTime := f.begin(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"),
		map[string]string{"Idempotency-Key": "k", forward.HeaderCaller: "depot", forward.HeaderTimeout: "1000"})
	short := f.begin(a, http.MethodGet, "/istoric/x", http.NoBody, nil)
	for what, got := range map[string]answer{"deadline in time": <-inTime, "known to be short": <-short} {
		if got.resp == nil || got.resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %s, want it served", what, got.body)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("Run = %v", err)
	}
}

// Guards against requests that are cut at the end of a stop without a response, so that their
// callers do not know whether they ran.
func TestStopAnswersWhatItCuts(t *testing.T) {
	f, a := startLate(t, 4*time.Second)
	f.setFaults("z1", &schema.UpstreamFaults{WorkMs: 15_000})
	before := f.totalRuns()
	booking := f.begin(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
	lookup := f.begin(a, http.MethodGet, "/istoric/x", http.NoBody, nil)
	f.waitFor("both are in flight", func() bool { return a.callers.InFlight() == 2 && f.totalRuns() == before+2 })
	_, ended := f.lateStop(a)
	for what, got := range map[string]answer{"booking": <-booking, "look-up": <-lookup} {
		if got.resp == nil || got.resp.StatusCode != http.StatusBadGateway || got.resp.Header.Get(forward.HeaderVerdict) != "MaybeRan" {
			t.Errorf("%s: %v, %s; want 502, MaybeRan", what, got.resp, got.body)
		}
	}
	if err := <-ended; err == nil {
		t.Error("Run = nil, want an error: requests were cut")
	}
}

// Guards against a request that waits for a slot of a stopping VM although it could not end.
func TestStopRefusesWaitingRequestsThatCannotEnd(t *testing.T) {
	f, a := startLate(t, lateGrace)
	f.setFaults("z1", &schema.UpstreamFaults{WorkMs: 2500})
	var running sync.WaitGroup
	var stopping atomic.Bool
	for range 8 {
		running.Go(func() {
			for !stopping.Load() {
				f.get(a, "/istoric/x")
			}
		})
	}
	f.waitFor("all slots are in use", func() bool { return a.pool.InFlight()+f.vms["b"].pool.InFlight() == 8 })
	waiting := f.begin(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
	f.waitFor("a request waits", func() bool { return a.callers.InFlight() == 9 })
	stopping.Store(true)
	stopped, _ := f.lateStop(a)
	wantLeaving(t, "waiting for a slot", <-waiting)
	if took := time.Since(stopped); took > 300*time.Millisecond {
		t.Errorf("refused %v after the stop, want at once", took)
	}
	running.Wait()
	if n := f.runs("k"); n != 0 {
		t.Errorf("the refused booking ran %d times", n)
	}
}

// Guards against a retry that a stopping VM begins although it cannot end.
func TestStopBeginsNoRetryThatCannotEnd(t *testing.T) {
	f, a := startLate(t, lateGrace)
	for range 25 {
		read(f, a) // The retry budget is a fraction of the requests.
	}
	f.setFaults("z1", &schema.UpstreamFaults{WorkMs: 1000, CutAfterRun: 1})
	before := f.totalRuns()
	got := f.begin(a, http.MethodPut, "/istoric/x", strings.NewReader("order"), nil)
	f.waitFor("it is in flight", func() bool { return f.totalRuns() == before+1 })
	f.lateStop(a)
	if got := <-got; got.resp == nil || got.resp.StatusCode != http.StatusBadGateway || got.took > lateEnd-300*time.Millisecond {
		t.Errorf("after %v: %s; want 502 as soon as the first upstream has failed", got.took, got.body)
	}
	if n := f.totalRuns() - before; n != 1 {
		t.Errorf("it ran %d times, want once", n)
	}
}

// Guards against requests of other VMs that a stopping one takes although they cannot end.
func TestStopRefusesOtherVMsRequestsThatCannotEnd(t *testing.T) {
	f, a := startLate(t, lateGrace)
	f.lateStop(a)
	for _, mode := range []forward.Mode{forward.Zone, forward.Offer, forward.Queue} {
		meta := forward.Meta{Service: "istoric", Origin: "z1", Mode: mode, Deadline: time.Now().Add(10 * time.Second)}
		hr, err := http.NewRequest(http.MethodPost, "http://upstream/slots", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		_, err = a.router.Serve(context.Background(), meta, hr)
		if e := verdict.As(err); err == nil || e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonLeaving {
			t.Errorf("%s: %v, want NotRun, Leaving", mode, err)
		}
	}
}
