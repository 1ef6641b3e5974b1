package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/poison"
	"auburnlatch/core/target"
	"auburnlatch/core/team"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// cut makes VMs lose their links and returns when each knows. Requests have to fail for that.
func (f *cutFleet) cut(vms ...int) {
	f.t.Helper()
	for _, i := range vms {
		f.links[i].set(linksReset)
	}
	for _, i := range vms {
		eventually(f.t, "the VM knows that it is cut off", func() bool {
			f.ask(i, http.MethodGet, "/get/1", "before", nil, bearer("key"))
			return f.vms[i].Figures(time.Now()).CutOff
		})
	}
}

// ask sends one request with further header fields to a VM.
func (f *cutFleet) ask(vm int, method, path, id string, body io.Reader, header map[string]string) reply {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.vms[vm].cfg.FrontAddr+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Object", id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

// runsIn returns how often upstreams of a zone ran a request.
func (f *cutFleet) runsIn(zone, id string) (n int) {
	for i, u := range f.upstreams {
		if zones[i%len(zones)].zone == zone {
			n += u.runs(id)
		}
	}
	return n
}

// total returns how often all upstreams ran requests whose IDs have a prefix, and how many such
// requests ran.
func (f *cutFleet) total(prefix string) (runs, requests int) {
	ran := make(map[string]bool)
	for _, u := range f.upstreams {
		u.mu.Lock()
		for id, n := range u.ran {
			if strings.HasPrefix(id, prefix) {
				runs += n
				ran[id] = true
			}
		}
		u.mu.Unlock()
	}
	return runs, len(ran)
}

// requireRefused fails unless a request was refused at once and truthfully.
func (f *cutFleet) requireRefused(what, id string, r reply, took time.Duration) {
	f.t.Helper()
	if runs, _ := f.total(id); r.status != http.StatusServiceUnavailable || r.header.Get("Auburnlatch-Verdict") != "NotRun" || r.header.Get("Retry-After") == "" || runs > 0 || took > objective {
		f.t.Errorf("%s: %d %v after %v (%v), ran %d times, want to be refused at once", what, r.status, r.header, took, r.err, runs)
	}
}

// The limit of the team few.
const fewPerSecond, fewBurst = 10, 5

// startTeamFleet starts three VMs with the teams of withTeams, whose routes have objectives.
func startTeamFleet(t *testing.T) *cutFleet {
	f := newCutFleet(t)
	cfg := cutConfig(2)
	cfg.Teams = []*team.Team{{Name: "depot", Keys: []string{"key"}}, {Name: "few", Keys: []string{"few"}, RatePerSecond: fewPerSecond, Burst: fewBurst}, {Name: "away", Keys: []string{"away"}, Homes: []string{"q"}}}
	f.platform.set(entry.TableRules, "config", cfg)
	f.change = strict
	f.start(3)
	return f
}

func bearer(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

// Guards against relayed requests that escape what binds all requests.
func TestRelayedRequestsAreBoundAsOthers(t *testing.T) {
	f := startTeamFleet(t)
	f.cut(0)
	t.Run("unknown key", func(*testing.T) {
		if r := f.ask(0, http.MethodGet, "/get/1", "unknown", nil, bearer("other")); r.status != http.StatusUnauthorized {
			t.Errorf("status %d, want 401", r.status)
		}
	})
	t.Run("homes of the team", func(*testing.T) {
		for i := range 20 {
			id := fmt.Sprint("away", i)
			r := f.ask(0, http.MethodPut, "/post/1", id, strings.NewReader("body"), bearer("away"))
			if r.status != http.StatusOK || f.runsIn("x", id) != 1 || f.runsIn("y", id)+f.runsIn("z", id) > 0 {
				t.Errorf("status %d, ran %d times in its region and %d elsewhere", r.status, f.runsIn("x", id), f.runsIn("y", id)+f.runsIn("z", id))
			}
		}
	})
	t.Run("limit of the team", func(*testing.T) {
		const span = 3 * time.Second
		for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
			f.ask(0, http.MethodGet, "/get/1", fmt.Sprint("few", i), nil, bearer("few"))
			<-time.After(time.Second / 60)
		}
		// The bound of all VMs over any second, and a tenth more.
		if runs, _ := f.total("few"); runs < fewPerSecond || float64(runs) > 1.1*(span.Seconds()*fewPerSecond+fewBurst) {
			t.Errorf("%d requests ran in %v, of a team with %v a second and a burst of %v", runs, span, fewPerSecond, fewBurst)
		}
	})
	t.Run("evacuation", func(*testing.T) {
		f.platform.set(entry.TableRules, "y", struct{}{})
		<-time.After(2 * time.Second)
		for i := range 30 {
			id := fmt.Sprint("evacuated", i)
			if r := f.ask(0, http.MethodGet, "/get/1", id, nil, bearer("key")); r.status != http.StatusOK || f.runsIn("y", id) > 0 {
				t.Errorf("status %d, ran %d times in the zone", r.status, f.runsIn("y", id))
			}
		}
		f.platform.remove(entry.TableRules, "y")
	})
	t.Run("leaving upstreams", func(*testing.T) {
		for i := range f.upstreams {
			if zones[i%len(zones)].zone != "x" {
				f.platform.set(entry.TableTargets, fmt.Sprint("i-", i), target.Registration{Service: "s", Addr: f.upstreams[i].addr(), Zone: zones[i%len(zones)].zone, Slots: 16, Draining: true})
			}
		}
		<-time.After(2 * time.Second)
		for i := range 30 {
			id := fmt.Sprint("leaving", i)
			if r := f.ask(0, http.MethodGet, "/get/1", id, nil, bearer("key")); r.status != http.StatusOK || f.runsIn("y", id)+f.runsIn("z", id) > 0 {
				t.Errorf("status %d, ran %d times at leaving upstreams", r.status, f.runsIn("y", id)+f.runsIn("z", id))
			}
		}
	})
	t.Run("ban", func(*testing.T) {
		p := poison.NewRequest(poison.Content{Method: http.MethodGet, Host: "h", URI: "/get/banned", Caller: "c"}).Print()
		f.platform.mu.Lock()
		f.platform.bans[p] = poison.Ban{Print: p, At: time.Now().UnixMilli()}
		f.platform.mu.Unlock()
		v := f.startVM(linksUp) // It reads the bans and tells the others.
		ready(t, v)
		eventually(t, "all VMs know the ban", func() bool {
			for _, v := range f.vms {
				if v.Figures(time.Now()).Poison.Bans != 1 {
					return false
				}
			}
			return true
		})
		h := bearer("key")
		h["Caller"] = "c"
		if r := f.ask(0, http.MethodGet, "/get/banned", "banned", nil, h); r.status != http.StatusServiceUnavailable || r.header.Get("Auburnlatch-Reason") != "Quarantined" {
			t.Errorf("status %d %v", r.status, r.header)
		}
		if runs, _ := f.total("banned"); runs > 0 {
			t.Errorf("a banned request ran %d times", runs)
		}
	})
}

// Guards against relayed requests whose upstream is given more time than is left, or fields that
// are the VMs' own.
func TestRelayedRequestHasWhatIsLeftOfItsTime(t *testing.T) {
	f := newCutFleet(t)
	var mu sync.Mutex
	got := make(map[string]http.Header)
	f.onRequest = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got[r.Header.Get("Request-Id")] = r.Header.Clone()
	}
	f.start(2)
	f.cut(0)
	const delay = 100 * time.Millisecond
	began := time.Now()
	body, w := io.Pipe()
	go func() {
		<-time.After(delay)
		fmt.Fprint(w, "body")
		w.Close()
	}()
	if r := f.ask(0, http.MethodPut, "/post/1", "slow", body, map[string]string{"Deadline-Ms": "900", "Auburnlatch-Rules": "7"}); r.status != http.StatusOK {
		t.Fatalf("status %d %v (%v)", r.status, r.header, r.err)
	}
	mu.Lock()
	defer mu.Unlock()
	h := got["slow"]
	left, err := strconv.Atoi(h.Get("Deadline-Ms"))
	if err != nil || left > 800 || left < 900-int(time.Since(began)/time.Millisecond) {
		t.Errorf("the upstream was given %q ms of 900, after %v", h.Get("Deadline-Ms"), delay)
	}
	for name := range h {
		if strings.HasPrefix(name, "Auburnlatch-") {
			t.Errorf("the upstream received %s", name)
		}
	}
}

// Guards against upstreams that go on working after the caller of a relayed request has left.
func TestHangUpReachesTheUpstreamOfARelayedRequest(t *testing.T) {
	f := newCutFleet(t)
	began, left := make(chan struct{}), make(chan struct{})
	f.handle = func(_ http.ResponseWriter, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/hangs") {
			return false
		}
		close(began)
		<-r.Context().Done()
		close(left)
		return true
	}
	f.start(2)
	f.cut(0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.vms[0].cfg.FrontAddr+"/post/hangs", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "hangs")
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	select {
	case <-began:
	case <-time.After(5 * time.Second):
		t.Fatal("the request reaches no upstream")
	}
	cancel()
	select {
	case <-left:
	case <-time.After(objective):
		t.Errorf("the upstream still works %v after the caller has left", objective)
	}
}

// Guards against retries that are counted by both VMs, or by neither.
func TestAttemptsOfRelayedRequestsAreCountedOnce(t *testing.T) {
	const ratio, n = 0.2, 100
	f := newCutFleet(t)
	f.handle = func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/get/fails") {
			return false
		}
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	f.change = func(cfg *settings.Entry) { cfg.RetryRatio, cfg.RetryExtra = ratio, 0 }
	f.start(3)
	f.cut(0)
	for i := range n {
		f.ask(0, http.MethodGet, "/get/fails", fmt.Sprint("fails", i), nil, nil)
	}
	runs, requests := f.total("fails")
	if requests != n || runs-requests > int(ratio*n) || runs == requests {
		t.Errorf("%d requests ran %d times, want some repeated and at most %v", requests, runs, int(ratio*n))
	}
	for i := range n {
		ran := 0
		for _, u := range f.upstreams {
			ran += u.runs(fmt.Sprint("fails", i))
		}
		if ran > 2 {
			t.Errorf("request %d ran %d times, of two attempts", i, ran)
		}
	}
}

// Guards against requests that earn a part of the retry budget at each VM that they are relayed to
// in vain.
func TestRelayedRequestsEarnRetriesOnce(t *testing.T) {
	const n = 20
	f := newCutFleet(t)
	f.start(5)
	f.cut(0)
	earned := func() (sum int64) {
		for _, v := range f.vms {
			for _, u := range v.Figures(time.Now()).Retries {
				sum += u.Requests
			}
		}
		return sum
	}
	before := earned()
	for i := range n {
		f.ask(0, http.MethodGet, "/get/1", fmt.Sprint("served", i), nil, nil)
	}
	if got := earned() - before; got != n {
		t.Errorf("%d relayed requests earned as many retries as %d", n, got)
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	for i := range n {
		before = earned()
		f.ask(0, http.MethodGet, "/get/1", fmt.Sprint("refused", i), nil, nil)
		if got := earned() - before; got > 1 {
			t.Errorf("a request that no VM could serve earned as many retries as %d", got)
		}
	}
}
