package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/core/team"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// gotHeaders records the headers that an upstream received, by request.
type gotHeaders struct {
	mu   sync.Mutex
	list map[string]http.Header
}

func (g *gotHeaders) handle(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.list == nil {
		g.list = make(map[string]http.Header)
	}
	g.list[r.Header.Get("Request-Id")] = r.Header.Clone()
	w.WriteHeader(http.StatusOK)
}

func (g *gotHeaders) of(id string) http.Header {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list[id]
}

// withTeams sets config with three teams, and a route /open/ that needs no key.
func withTeams(p *fakePlatform, version uint64, keys ...string) {
	cfg := config(version)
	open := *cfg.Routes[0]
	open.Name, open.Prefix, open.Unauthenticated = "open", "/open/", true
	cfg.Routes = append(cfg.Routes, &open)
	cfg.Teams = []*team.Team{{Name: "depot", Keys: keys}, {Name: "away", Keys: []string{"away"}, Homes: []string{"q"}}, {Name: "few", Keys: []string{"few"}, RatePerSecond: 1, Burst: 2}}
	p.set(entry.TableRules, "config", cfg)
}

func strict(cfg *settings.Entry) {
	cfg.RevokeWithin = 2500 * time.Millisecond
	cfg.Limits = ratelimit.Bounds{Window: time.Second}
}

// startWithTeams starts a VM and an upstream, with teams of which depot has keys.
func startWithTeams(t *testing.T, keys ...string) (*fakePlatform, *gotHeaders, *runningVM) {
	t.Helper()
	p, got := newPlatform(), &gotHeaders{}
	register(p, "u", startUpstream(t, got.handle).addr())
	withTeams(p, 1, keys...)
	v := startVM(t, "vm", p, strict)
	ready(t, v)
	return p, got, v
}

// get sends a request with header fields, and returns its status and header.
func (v *runningVM) get(t *testing.T, path, id string, fields ...string) (int, http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+v.cfg.FrontAddr+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Object", id)
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		req.Header[name] = append(req.Header[name], value) // Without canonicalization.
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// A caller's key must decide which team an upstream sees, whatever team the caller sets, and
// must not be forwarded.
func TestTeamOfARequest(t *testing.T) {
	_, got, v := startWithTeams(t, "key-one", "key-two")
	for i, tc := range []struct {
		name   string
		path   string
		fields []string
		status int
		team   string
	}{
		{"a key", "/get/", []string{"Authorization: Bearer key-one"}, 200, "depot"},
		{"another of the same team", "/get/", []string{"Authorization: bearer  key-two"}, 200, "depot"},
		{"a forged team", "/get/", []string{"Authorization: Bearer key-one", "Team: away", "team: away", "TEAM: away"}, 200, "depot"},
		{"a forged team on a route without keys", "/open/", []string{"Team: away"}, 200, ""},
		{"a key on a route without keys", "/open/", []string{"Authorization: Bearer key-one"}, 200, ""},
		{"no key", "/get/", nil, 401, ""},
		{"an unknown key", "/get/", []string{"Authorization: Bearer key-three"}, 401, ""},
		{"another scheme", "/get/", []string{"Authorization: Basic key-one"}, 401, ""},
		{"two keys", "/get/", []string{"Authorization: Bearer key-one", "Authorization: Bearer away"}, 401, ""},
		{"no upstream in the team's homes", "/get/", []string{"Authorization: Bearer away"}, 503, ""},
		{"no route", "/none/", []string{"Authorization: Bearer key-one"}, 404, ""},
	} {
		id := fmt.Sprint("team", i)
		status, h := v.get(t, tc.path, id, tc.fields...)
		if status != tc.status || (status == 401) != (h.Get("WWW-Authenticate") == "Bearer") {
			t.Errorf("%s: %d, want %d; WWW-Authenticate %q", tc.name, status, tc.status, h.Get("WWW-Authenticate"))
		}
		sent := got.of(id)
		if (sent != nil) != (tc.status == 200) {
			t.Errorf("%s: reached an upstream: %v", tc.name, sent != nil)
			continue
		}
		if sent == nil {
			continue
		}
		var teams []string
		for name, values := range sent {
			if strings.EqualFold(name, "Team") {
				teams = append(teams, values...)
			}
		}
		if strings.Join(teams, ",") != tc.team || sent.Get("Authorization") != "" {
			t.Errorf("%s: the upstream got teams %q and key %q, want %q and none", tc.name, teams, sent.Get("Authorization"), tc.team)
		}
	}
	v.lines.mu.Lock()
	defer v.lines.mu.Unlock()
	for _, key := range []string{"key-one", "key-two", "key-three"} {
		if strings.Contains(v.lines.buf.String(), key) {
			t.Errorf("the log contains key %s", key)
		}
	}
}

// A VM is cut off from the platform and from all other VMs, and a key is revoked. A caller that
// knows the VM keeps sending requests with it. None that is sent more than RevokeWithin after
// the revocation may run. Requests that need no key must still be served, and the remaining key
// must be served once the VM has verified its rules again.
func TestKeyRevokedAtIsolatedVM(t *testing.T) {
	p, got, v := startWithTeams(t, "kept", "taken")
	if status, _ := v.get(t, "/get/", "before", "Authorization: Bearer taken"); status != 200 {
		t.Fatalf("before: %d", status)
	}
	p.setUnavailable(true)
	withTeams(p, 2, "kept")
	taken := time.Now()
	var last int
	for n := 0; time.Since(taken) < 3500*time.Millisecond; n++ {
		id, sent := fmt.Sprint("cut", n), time.Now()
		status, h := v.get(t, "/get/", id, "Authorization: Bearer taken")
		if last = status; status == 200 && sent.Sub(taken) > v.cfg.RevokeWithin {
			t.Fatalf("sent %v after the key was revoked, and ran", sent.Sub(taken))
		}
		if status != 200 && (status != 503 || h.Get("Retry-After") == "" || got.of(id) != nil) {
			t.Fatalf("%d, Retry-After %q, ran %v; want a refusal that did not run", status, h.Get("Retry-After"), got.of(id) != nil)
		}
		<-time.After(20 * time.Millisecond)
	}
	if last != 503 {
		t.Errorf("at the end: %d, want 503", last)
	}
	if v.Ready() {
		t.Error("it is ready, but cannot verify keys")
	}
	if status, _ := v.get(t, "/open/", "open"); status != 200 {
		t.Errorf("a route without keys: %d", status)
	}
	p.setUnavailable(false)
	eventually(t, "the remaining key is served", func() bool {
		status, _ := v.get(t, "/get/", "after", "Authorization: Bearer kept")
		return status == 200
	})
	if status, _ := v.get(t, "/get/", "after-taken", "Authorization: Bearer taken"); status != 401 {
		t.Errorf("the revoked key: %d", status)
	}
}

// The platform refuses a VM that reaches another one, which the platform serves. It must verify
// its rules through that VM, and receive changes from it.
func TestKeysAtVMRefusedByPlatform(t *testing.T) {
	shared, _, neighbor := startWithTeams(t, "kept", "taken")
	refusing := newPlatform()
	refusing.setUnavailable(true)
	v := startVM(t, "vm-b", refusing, func(cfg *settings.Entry) { strict(cfg); cfg.Seeds = []string{neighbor.cfg.PeerAddr} })
	ready(t, v)
	for n := range 130 {
		if status, _ := v.get(t, "/get/", fmt.Sprint("turned", n), "Authorization: Bearer taken"); status != 200 {
			t.Fatalf("request %d: %d", n, status)
		}
		<-time.After(30 * time.Millisecond)
	}
	withTeams(shared, 2, "kept")
	eventually(t, "the revoked key is refused", func() bool {
		status, _ := v.get(t, "/get/", "taken", "Authorization: Bearer taken")
		return status == 401
	})
}

// A team exceeds its limit. The excess must be refused with a Retry-After, and must not have run.
func TestTeamOverItsLimit(t *testing.T) {
	_, got, v := startWithTeams(t, "k")
	over := 0
	for n := range 60 {
		id := fmt.Sprint("few", n)
		status, h := v.get(t, "/get/", id, "Authorization: Bearer few")
		switch {
		case status == http.StatusTooManyRequests && h.Get("Retry-After") != "" && got.of(id) == nil:
			over++
		case status != 200:
			t.Fatalf("request %d: %d, Retry-After %q", n, status, h.Get("Retry-After"))
		}
	}
	if over < 40 {
		t.Errorf("of 60 requests at once %d were over a limit of 1 a second", over)
	}
	if status, _ := v.get(t, "/get/", "other", "Authorization: Bearer k"); status != 200 {
		t.Errorf("another team: %d", status)
	}
}
