package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/claim"
	"auburnlatch/core/inventory"
	"auburnlatch/core/steer"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/platform"
	"auburnlatch/io/route"
	standin "auburnlatch/standin/platform"
)

// fakeRouter is a Router that counts the requests that ran.
type fakeRouter struct {
	mu      sync.Mutex
	runs    int
	fail    []error // Errors of the next calls; nil if the request runs.
	answer  string
	release chan struct{} // If set, a call waits until it is closed.
	entered chan struct{} // If set, receives a value from each call.
}

func (f *fakeRouter) Route(_ context.Context, req *route.Request) (*http.Response, error) {
	f.mu.Lock()
	var err error
	if len(f.fail) > 0 {
		err, f.fail = f.fail[0], f.fail[1:]
	}
	if err == nil || verdict.Of(err) != verdict.NotRun {
		f.runs++
	}
	body := f.answer
	if body == "" {
		body = fmt.Sprintf("run %d of %s", f.runs, req.HTTP.URL.Path)
	}
	release, entered := f.release, f.entered
	f.mu.Unlock()
	if entered != nil {
		entered <- struct{}{}
	}
	if release != nil {
		<-release
	}
	if err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: http.StatusCreated, Header: http.Header{"X-Depot": {"cluj"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}, nil
}

// Late implements Router. The VM is not stopped.
func (f *fakeRouter) Late(time.Time, *route.Request) error { return nil }

// fakeRegister has one service and is always ready.
type fakeRegister struct {
	inv     *inventory.Inventory
	lookups *steer.Lookups
}

func (f *fakeRegister) Lookups() *steer.Lookups             { return f.lookups }
func (f *fakeRegister) Service(n string) *inventory.Service { return f.inv.Service(n) }
func (f *fakeRegister) Ready() bool                         { return true }

// harness is the caller server of one VM with a stand-in platform.
type harness struct {
	platform *standin.Platform
	router   *fakeRouter
	server   *Server
	url      string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	r := &harness{platform: standin.New(), router: &fakeRouter{}}
	p := httptest.NewServer(r.platform)
	t.Cleanup(p.Close)
	r.server, r.url = newServer(t, p.URL, r.router)
	return r
}

func newServer(t *testing.T, platformURL string, router Router) (*Server, string) {
	t.Helper()
	inv, err := inventory.New(inventory.Op{Service: &inventory.Service{
		Name: "programari", Timeout: 3 * time.Second, IdempotentMethods: []string{"GET"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	claims := platform.NewClaims(platform.New(platformURL, platform.WithTimeout(time.Second)))
	cfg := Config{Holder: claim.Holder{VM: "vm"}, MaxInFlight: 100, MaxBodyBytes: 1 << 20, MaxStoredAnswer: 1 << 20}
	s := New(cfg, router, claims, &fakeRegister{inv, steer.NewLookups(nil, inv, nil, "z")}, log.WithField("VM", "vm"))
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return s, srv.URL
}

// waitSettled waits until all rows are settled.
func (r *harness) waitSettled() { _ = r.server.Settled(context.Background()) }

// reply is a response as a caller sees it.
type reply struct {
	status   int
	body     string
	verdict  string
	reason   string
	retry    string
	replayed bool
	depot    string
}

// book sends one booking, a request that must not run twice, for the caller who
// with an idempotency key.
func book(t *testing.T, url, who, key, body string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+"/programari/slots", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set(forward.HeaderCaller, who)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{
		status: resp.StatusCode, body: string(data), verdict: resp.Header.Get(forward.HeaderVerdict),
		reason: resp.Header.Get(forward.HeaderReason), retry: resp.Header.Get("Retry-After"),
		replayed: resp.Header.Get(forward.HeaderReplayed) != "", depot: resp.Header.Get("X-Depot"),
	}
}

func notRun(reason verdict.Reason) error { return verdict.New(verdict.NotRun, reason, time.Second) }

// A booking fails at different points and is retried with the same key. It must
// run at most once, and the verdicts of both responses must be true.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults standin.Faults
		fail   []error
		// The responses to the first and the second attempt.
		first, second reply
		runs          int
	}{
		{
			name:   "no failure: the retry gets the stored answer",
			first:  reply{status: 201, body: "run 1 of /slots"},
			second: reply{status: 201, body: "run 1 of /slots", replayed: true},
			runs:   1,
		},
		{
			name:   "response to the claim lost, claim written",
			faults: standin.Faults{LoseAnswers: 1},
			first:  reply{status: 201, body: "run 1 of /slots"},
			second: reply{status: 201, body: "run 1 of /slots", replayed: true},
			runs:   1,
		},
		{
			name:   "claim written late, after its tombstone",
			faults: standin.Faults{LateWrites: 1, Late: 300 * time.Millisecond},
			first:  reply{status: 503, verdict: "NotRun", reason: "PlatformDown", retry: "1"},
			second: reply{status: 201, body: "run 1 of /slots"},
			runs:   1,
		},
		{
			name:   "responses to claim and tombstone lost",
			faults: standin.Faults{LoseAnswers: 2},
			first:  reply{status: 503, verdict: "NotRun", reason: "PlatformDown", retry: "1"},
			second: reply{status: 201, body: "run 1 of /slots"},
			runs:   1,
		},
		{
			name:   "no free slot: the claim is released",
			fail:   []error{notRun(verdict.ReasonQueueFull)},
			first:  reply{status: 503, verdict: "NotRun", reason: "QueueFull", retry: "1"},
			second: reply{status: 201, body: "run 1 of /slots"},
			runs:   1,
		},
		{
			name:   "upstream connection broken: outcome unknown, not sent again",
			fail:   []error{verdict.New(verdict.MaybeRan, verdict.ReasonBroken, time.Second)},
			first:  reply{status: 502, verdict: "MaybeRan", reason: "Broken", retry: "1"},
			second: reply{status: 409, verdict: "MaybeRan", reason: "InProgress", retry: "1"},
			runs:   1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newHarness(t)
			r.platform.SetFaults(tc.faults)
			r.router.fail = tc.fail
			got := book(t, r.url, "depot-cluj", "k", "order")
			compare(t, "first", got, tc.first)
			r.waitSettled()
			got = book(t, r.url, "depot-cluj", "k", "order")
			compare(t, "second", got, tc.second)
			r.waitSettled()
			if r.router.runs != tc.runs {
				t.Errorf("ran %d times, want %d", r.router.runs, tc.runs)
			}
		})
	}
}

func compare(t *testing.T, which string, got, want reply) {
	t.Helper()
	if want.body == "" {
		got.body = ""
	}
	got.depot = ""
	if got != want {
		t.Errorf("%s response = %+v, want %+v", which, got, want)
	}
}

// The platform is down. A request that needs a claim must be refused immediately
// with NotRun and Retry-After, and must not reach an upstream.
func TestPlatformOutageRefusesAtOnce(t *testing.T) {
	r := newHarness(t)
	r.platform.SetFaults(standin.Faults{Outage: true})
	for i := range 3 {
		got := book(t, r.url, "depot", fmt.Sprint("k", i), "order")
		compare(t, "refused", got, reply{status: 503, verdict: "NotRun", reason: "PlatformDown", retry: "1"})
	}
	r.platform.SetFaults(standin.Faults{})
	if r.router.runs != 0 {
		t.Errorf("ran %d times while the platform was down", r.router.runs)
	}
	if n := r.platform.Stats().Commits; n != 0 {
		t.Errorf("%d commits reached the table", n)
	}
}

// The platform performs all writes, but answers after the claims client has timed
// out. The first request must be refused with NotRun at the timeout, later ones
// immediately. When the late claims have been written, they must block no retry
// and make no request run twice.
func TestSlowPlatformRefusesAndBlocksNothing(t *testing.T) {
	r := newHarness(t)
	r.platform.SetFaults(standin.Faults{Delay: 1500 * time.Millisecond})
	refused := reply{status: 503, verdict: "NotRun", reason: "PlatformDown", retry: "1"}
	compare(t, "first", book(t, r.url, "depot", "k", "order"), refused)
	started := time.Now()
	for i := range 5 {
		compare(t, "others", book(t, r.url, "depot", fmt.Sprint("other", i), "order"), refused)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("five refusals took %v with the platform known to be unresponsive, want at most 1 s", took)
	}
	r.platform.SetFaults(standin.Faults{})
	r.waitSettled()
	if r.router.runs != 0 {
		t.Fatalf("ran %d times, though all were refused with NotRun", r.router.runs)
	}
	<-time.After(1100 * time.Millisecond) // The claim breaker allows a probe after 1 s.
	compare(t, "again", book(t, r.url, "depot", "k", "order"), reply{status: 201, body: "run 1 of /slots"})
}

// A booking runs, and the platform goes down before the answer is stored. Until
// the platform is back, retries are refused with MaybeRan. The answer must be stored
// when it is back, and a retry must get it in place of a second run.
func TestOutageBetweenRunAndStore(t *testing.T) {
	r := newHarness(t)
	r.router.release, r.router.entered = make(chan struct{}), make(chan struct{}, 1)
	first := make(chan reply, 1)
	go func() { first <- book(t, r.url, "depot", "k", "order") }()
	<-r.router.entered
	r.platform.SetFaults(standin.Faults{Outage: true})
	close(r.router.release)
	compare(t, "first", <-first, reply{status: 201, body: "run 1 of /slots"})
	r.platform.SetFaults(standin.Faults{})
	r.waitSettled()
	compare(t, "second", book(t, r.url, "depot", "k", "order"), reply{status: 201, body: "run 1 of /slots", replayed: true})
}

// Requests with the same key reach two VMs at the same time. One must run; the
// other must be refused with InProgress, and get the stored answer later.
func TestSameKeyOnTwoVMsRunsOnce(t *testing.T) {
	r := newHarness(t)
	r.router.release, r.router.entered = make(chan struct{}), make(chan struct{}, 1)
	p := httptest.NewServer(r.platform)
	defer p.Close()
	_, other := newServer(t, p.URL, r.router)
	first := make(chan reply, 1)
	go func() { first <- book(t, r.url, "depot", "k", "order") }()
	<-r.router.entered
	compare(t, "other VM", book(t, other, "depot", "k", "order"), reply{status: 409, verdict: "MaybeRan", reason: "InProgress", retry: "1"})
	close(r.router.release)
	compare(t, "first VM", <-first, reply{status: 201, body: "run 1 of /slots"})
	r.waitSettled()
	compare(t, "other VM later", book(t, other, "depot", "k", "order"), reply{status: 201, body: "run 1 of /slots", replayed: true})
}

// Two callers use the same key, and one caller reuses its key for a different
// request. No request may get the answer to another one.
func TestAnswerIsOnlyReplayedToSameRequest(t *testing.T) {
	r := newHarness(t)
	book(t, r.url, "depot-cluj", "k", "order")
	r.waitSettled()
	compare(t, "other depot", book(t, r.url, "depot-iasi", "k", "order"), reply{status: 201, body: "run 2 of /slots"})
	r.waitSettled()
	compare(t, "other order", book(t, r.url, "depot-cluj", "k", "another order"), reply{status: 422, verdict: "NotRun", reason: "KeyReused"})
	compare(t, "no name", book(t, r.url, "", "k", "order"), reply{status: 400, verdict: "NotRun", reason: "KeyMissing"})
}

// The response to a booking is too large for the claims table. A retry must get it
// from the object store, complete and with its header fields.
func TestLargeAnswerIsReplayedWhole(t *testing.T) {
	r := newHarness(t)
	r.router.answer = strings.Repeat("certificate ", 20_000)
	book(t, r.url, "depot", "k", "order")
	r.waitSettled()
	got := book(t, r.url, "depot", "k", "order")
	if got.body != r.router.answer || !got.replayed || got.depot != "cluj" {
		t.Errorf("replay has %d bytes, replayed %t, X-Depot %q; want %d bytes, true, cluj", len(got.body), got.replayed, got.depot, len(r.router.answer))
	}
}
