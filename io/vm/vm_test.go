package vm

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/steer"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/schema"
	"auburnlatch/standin/platform"
)

// A VM is stopped during a slow upload. The upload must arrive completely and the
// VM must not stop before, while new requests are refused with NotRun, Leaving and
// Retry-After.
func TestGracefulStopWaitsForUpload(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z1"})
	body := &slowBody{parts: make(chan []byte)}
	got := make(chan string, 1)
	go func() {
		_, answer := f.send(a, http.MethodPut, "/istoric/recording", body, nil)
		got <- answer
	}()
	part := bytes.Repeat([]byte("x"), 100_000)
	body.parts <- part
	f.waitFor("the upload has begun", func() bool { return a.callers.InFlight() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.leave("a") }()
	f.waitFor("new requests are refused as not run", func() bool {
		resp, _ := f.get(a, "/istoric/x")
		return resp != nil && resp.Header.Get(forward.HeaderReason) == string(verdict.ReasonLeaving) &&
			resp.Header.Get(forward.HeaderVerdict) == "NotRun" && resp.Header.Get("Retry-After") != ""
	})
	body.parts <- part
	select {
	case err := <-stopped:
		t.Fatalf("the VM stopped (%v) with an upload in flight", err)
	default:
	}
	close(body.parts)
	if answer := <-got; !strings.Contains(answer, "bytes=200000 ") {
		t.Errorf("answer = %q, want the upstream to have read 200000 bytes", answer)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Run = %v", err)
	}
}

// A VM leaves. Its zone peer must take over all of the zone's slots soon after, and
// not only when the platform's list no longer has the VM.
func TestPeerTakesOverSlotsOfVMThatLeft(t *testing.T) {
	f := newFleet(t, "z1")
	f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z1"})
	if err := f.leave("b"); err != nil {
		t.Fatal(err)
	}
	f.waitServing()
}

// An upstream reports Leaving at its health endpoint. After two seconds it must
// receive no new requests, by its own count.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.start("a", "z1")
	b := f.start("b", "z1")
	f.apply(a)
	f.waitServing()
	leaving := f.upstreams["z1-0"]
	leaving.SetFaults(&schema.UpstreamFaults{State: "Leaving"})
	<-time.After(2 * time.Second)
	before := leaving.Stats().GetRuns()
	for i := range 100 {
		if resp, body := f.get([]*runningVM{a, b}[i%2], "/istoric/x"); resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("read %d: %s", i, body)
		}
	}
	if got := leaving.Stats().GetRuns() - before; got != 0 {
		t.Errorf("the leaving upstream got %d of 100 requests", got)
	}
}

// Two operators change the inventory concurrently from the same version, through
// different VMs. One change must fail with ErrVersion, its VM must know the other
// change, and all VMs must end with the same version.
func TestConcurrentChangesConflict(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a, b := f.start("a", "z1"), f.start("b", "z2")
	f.apply(a)
	outcomes := make(chan error, 2)
	for i, v := range []*runningVM{a, b} {
		change := inventory.Change{ID: fmt.Sprint("race", i), Based: 1, Author: v.cfg.Name, Ops: []inventory.Op{
			{Drain: &inventory.Drain{Kind: inventory.KindTarget, Name: fmt.Sprintf("z%d-0", i+1)}},
		}}
		go func() {
			_, err := v.Accept(context.Background(), change, false)
			outcomes <- err
		}()
	}
	var lost int
	for range 2 {
		if err := <-outcomes; errors.Is(err, inventory.ErrVersion) {
			lost++
		} else if err != nil {
			t.Error(err)
		}
	}
	if lost != 1 {
		t.Fatalf("%d changes failed with ErrVersion, want 1", lost)
	}
	f.waitFor("both VMs have version 2", func() bool { return f.allAt(2) })
	if got, want := a.Inventory().Drains[0].Name, b.Inventory().Drains[0].Name; got != want || len(a.Inventory().Drains) != 1 {
		t.Errorf("drains are %s and %s, want a single one, the same on both VMs", got, want)
	}
	for _, v := range f.vms {
		since, ok := v.ChangesAfter(1)
		if !ok || len(since) != 1 {
			t.Errorf("%s returns %d changes since version 1, want the accepted one", v.cfg.Name, len(since))
		}
	}
}

// The platform writes a change but its response is lost, or it writes the change
// late. The operator must get the true outcome, and the change must be made once.
func TestAcceptSurvivesLostResponse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults platform.Faults
	}{
		{"lost", platform.Faults{LoseAnswers: 1}},
		{"lost twice", platform.Faults{LoseAnswers: 2}},
		{"late", platform.Faults{LateWrites: 1, Late: 300 * time.Millisecond}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, "z1")
			a := f.start("a", "z1")
			f.platform.SetFaults(tc.faults)
			f.apply(a)
			<-time.After(2 * tc.faults.Late)
			if head, err := a.config.register.Head(context.Background()); err != nil || head.Version != 1 {
				t.Errorf("head = %d (%v), want 1", head.Version, err)
			}
		})
	}
}

// The platform is down. Reads must be served; a booking and a change of the
// inventory must be refused with NotRun; a VM that starts must get the inventory
// from a peer, and one that reaches no peer must report that it is not ready.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.startServing(vmSpec{"a", "z1"})
	f.platform.SetFaults(platform.Faults{Outage: true})
	if resp, body := f.get(a, "/istoric/x"); resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("read during the outage: %s", body)
	}
	resp, body := f.send(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
	if resp == nil || resp.Header.Get(forward.HeaderVerdict) != "NotRun" || resp.Header.Get("Retry-After") == "" || f.runs("k") != 0 {
		t.Errorf("booking during the outage: %v, %s, ran %d times; want a refusal with NotRun and Retry-After", resp, body, f.runs("k"))
	}
	if _, err := a.Accept(context.Background(), inventory.Change{ID: "x", Based: 1}, false); verdict.Of(err) != verdict.NotRun {
		t.Errorf("change during the outage: %v, want NotRun", err)
	}
	fresh := f.start("fresh", "z1")
	f.waitFor("the new VM has the inventory from a peer", fresh.Ready)
	lone := newFleet(t, "z1")
	lone.platform.SetFaults(platform.Faults{Outage: true})
	alone := lone.start("alone", "z1")
	resp, _ = lone.get(alone, "/auburnlatch/ready")
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || alone.Ready() {
		t.Errorf("a VM that reaches neither the platform nor a peer reports that it is ready")
	}
}

// An upstream runs a booking and its connection breaks before the response. The
// booking must not be sent to another upstream, and must not be refused with
// NotRun.
func TestBrokenBookingIsNotSentAgain(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.startServing(vmSpec{"a", "z1"})
	f.setFaults("z1", &schema.UpstreamFaults{CutAfterRun: 1})
	resp, body := f.send(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
	if resp == nil || resp.Header.Get(forward.HeaderVerdict) != "MaybeRan" {
		t.Errorf("response = %v, %s; want MaybeRan", resp, body)
	}
	resp, _ = f.send(a, http.MethodPost, "/istoric/slots", strings.NewReader("order"), keyed("k"))
	if resp == nil || resp.Header.Get(forward.HeaderReason) != string(verdict.ReasonInProgress) {
		t.Errorf("retry = %v, want InProgress", resp)
	}
	if got := f.runs("k"); got != 1 {
		t.Errorf("ran %d times, want 1", got)
	}
}

// A response is truncated, at the entry VM's upstream or behind another VM. The
// caller must get an error, and not a truncated response that looks complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	f.setFaults("z", &schema.UpstreamFaults{CutMidAnswer: 100})
	for _, direct := range []bool{true, false} {
		if !direct {
			// The response now passes through a second VM.
			sendAllTo(a, "z2")
		}
		if resp, body := f.get(a, "/istoric/x?size=100000"); resp != nil && resp.StatusCode == http.StatusOK {
			t.Errorf("direct %t: %d bytes with status %d received as a complete response", direct, len(body), resp.StatusCode)
		}
	}
}

// sendAllTo sets the weights of a VM of z1 so that all requests go to one zone.
func sendAllTo(v *runningVM, zone string) {
	v.rows.Row(steer.RowKey{Service: "istoric", Origin: "z1"}).Restore(steer.Weights{zone: 1}, nil)
}

// All upstreams of a zone shed. Callers must be refused with NotRun, and retries
// must add no more load than the retry budget allows.
func TestRetriesStayWithinBudgetWhileUpstreamsShed(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.startServing(vmSpec{"a", "z1"})
	f.setFaults("z1", &schema.UpstreamFaults{Shed: true})
	const requests = 200
	for range requests {
		resp, body := f.get(a, "/istoric/x")
		if resp == nil || resp.Header.Get(forward.HeaderVerdict) != "NotRun" {
			t.Fatalf("response = %v, %s; want NotRun", resp, body)
		}
	}
	var shed uint64
	for _, u := range f.upstreams {
		shed += u.Stats().GetShed()
	}
	if limit := uint64(requests*1.2 + 5); shed > limit {
		t.Errorf("%d requests reached upstreams %d times, want at most %d", requests, shed, limit)
	}
}

// A drain would leave a service without a target. It must be rejected, and accepted
// if the operator insists.
func TestDrainOfLastTargetNeedsInsist(t *testing.T) {
	f := newFleet(t, "z1")
	a := f.start("a", "z1")
	f.apply(a)
	change := inventory.Change{ID: "d", Based: 1, Ops: []inventory.Op{{Drain: &inventory.Drain{Kind: inventory.KindZone, Name: "z1"}}}}
	if _, err := a.Accept(context.Background(), change, false); err == nil {
		t.Fatal("a drain of the last targets was accepted without insist")
	}
	if got := a.Inventory().Version; got != 1 {
		t.Fatalf("version = %d, want 1", got)
	}
	if _, err := a.Accept(context.Background(), change, true); err != nil {
		t.Errorf("Accept with insist: %v", err)
	}
}

// A zone is drained. Its callers' traffic must move to the other zone no faster than
// MaxShiftPerMinute, and the drained zone must serve the rest.
func TestZoneDrainRespectsShiftCap(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	change := inventory.Change{ID: "d", Based: 1, Ops: []inventory.Op{{Drain: &inventory.Drain{Kind: inventory.KindZone, Name: "z1"}}}}
	if _, err := a.Accept(context.Background(), change, false); err != nil {
		t.Fatal(err)
	}
	f.waitFor("traffic has begun to move", func() bool { return strings.Contains(read(f, a), "upstream=z2") })
	counts := map[string]int{}
	for range 200 {
		answer := read(f, a)
		counts[answer[:len("upstream=z1")]]++
	}
	if got := counts["upstream=z2"]; got < 95 || got > 102 || got+counts["upstream=z1"] != 200 {
		t.Errorf("200 requests within a minute were served %v, want half by each zone, which is the cap", counts)
	}
}

// read reads through a VM. A refusal fails the test, unless it is because a VM has no slot
// in force after a pause. A busy machine can pause a VM for a moment; it then takes all its
// slots out of force, and the read is retried.
func read(f *fleet, v *runningVM) string {
	for deadline := time.Now().Add(waitTimeout); ; {
		resp, body := f.get(v, "/istoric/x")
		if resp != nil && resp.StatusCode == http.StatusOK {
			return body
		}
		if !strings.Contains(body, `"NoCapacity"`) || !f.someVMWasPaused() || time.Now().After(deadline) {
			f.t.Fatalf("read: %s", body)
		}
		<-time.After(pollInterval)
	}
}

// someVMWasPaused reports whether a VM has no slot in force. A VM that wakes from a pause
// takes all its slots out of force until it has received the state of its zone peers.
func (f *fleet) someVMWasPaused() bool {
	for _, v := range f.vms {
		if len(v.pool.Dispatchers("istoric")) == 0 {
			return true
		}
	}
	return false
}

// A look-up names the VMs of the caller's zone. It must not name a VM that is leaving.
func TestLookupOmitsLeavingVM(t *testing.T) {
	f := newFleet(t, "z1")
	a, b := f.start("a", "z1"), f.start("b", "z1")
	f.apply(a)
	lookup := func() string { _, body := f.get(b, "/auburnlatch/lookup"); return body }
	f.waitFor("the look-up names both VMs", func() bool {
		answer := lookup()
		return strings.Contains(answer, a.cfg.CallerAddr) && strings.Contains(answer, b.cfg.CallerAddr)
	})
	go func() { _ = f.leave("a") }()
	f.waitFor("the look-up does not name the leaving VM", func() bool { return !strings.Contains(lookup(), a.cfg.CallerAddr) })
}

// Many callers read concurrently, through both VMs and both zones, while some cancel
// their requests and connections are reused. No caller may get the response to
// another one's request.
func TestEachCallerGetsItsOwnResponse(t *testing.T) {
	const callers, reads = 16, 25
	f := newFleet(t, "z1", "z2")
	a, b := f.start("a", "z1"), f.start("b", "z2")
	f.apply(a)
	f.waitServing()
	a.rows.Row(steer.RowKey{Service: "istoric", Origin: "z1"}).Restore(steer.Weights{"z1": 0.5, "z2": 0.5}, nil)
	f.setFaults("z", &schema.UpstreamFaults{WorkMs: 2})
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range reads {
				via := []*runningVM{a, b}[i%2]
				if i%5 == 0 {
					cancelRequest(via, time.Duration(i)*100*time.Microsecond)
				}
				path := fmt.Sprintf("/van-%d-%d", caller, i)
				resp, body := f.get(via, "/istoric"+path)
				if resp != nil && resp.StatusCode == http.StatusOK && !strings.Contains(body, " path="+path+" ") {
					t.Errorf("asked for %s, got %q", path, body)
				}
			}
		})
	}
	wg.Wait()
}

// cancelRequest starts a request and cancels it after a while.
func cancelRequest(v *runningVM, after time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.cfg.CallerAddr+"/istoric/abandoned", nil)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}
