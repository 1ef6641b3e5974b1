package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/io/entry"
	"auburnlatch/io/forward"
	"auburnlatch/io/settings"
)

// threeRanks is a configuration with a route of each of three ranks.
func threeRanks() *route.Config {
	cfg := &route.Config{Version: 1, Services: []*route.Service{{Name: "s"}}}
	for i, name := range []string{"change", "page", "upload"} {
		cfg.Routes = append(cfg.Routes, &route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.NonIdempotent, Parts: []route.Part{{Service: "s", Weight: 1}},
			Attempts: 1, Priority: i, Objective: time.Second, Timeout: 2 * time.Second,
		})
	}
	return cfg
}

// busyUpstream is an upstream that reports 7 requests for its 4 slots and responds at once.
func busyUpstream(t *testing.T) *upstreamServer {
	return startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Load", "4,3,4") })
}

// outcomes are the responses to alternating urgent and other requests.
type outcomes struct {
	changes, uploads map[int]int // By status.
	refused          []string    // IDs of refused uploads.
}

// alternate sends n urgent requests and n uploads.
func alternate(t *testing.T, v *runningVM, n int) outcomes {
	t.Helper()
	o := outcomes{changes: map[int]int{}, uploads: map[int]int{}}
	for i := range n {
		o.changes[v.request(t, http.MethodPost, "/change/1", fmt.Sprint("change", i), "").status]++
		id, began := fmt.Sprint("upload", i), time.Now()
		r := v.request(t, http.MethodPost, "/upload/1", id, "")
		if o.uploads[r.status]++; r.status == http.StatusOK {
			continue
		}
		o.refused = append(o.refused, id)
		if took := time.Since(began); took > 500*time.Millisecond || r.header.Get(forward.HeaderVerdict) != "NotRun" {
			t.Errorf("%s: refused after %v with %v", id, took, r.header)
		}
	}
	return o
}

// An upstream has nearly two requests for each slot. Urgent requests must be sent there and uploads
// refused at once, but not all of them.
func TestUrgentRequestIsServedWhereAnUploadIsRefused(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", threeRanks())
	u := busyUpstream(t)
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	const n = 150
	o := alternate(t, v, n)
	if o.changes[http.StatusOK] != n {
		t.Errorf("urgent requests: %v, want %d served", o.changes, n)
	}
	if o.uploads[http.StatusServiceUnavailable] == 0 || o.uploads[http.StatusOK] < n/4 {
		t.Errorf("uploads: %v, want some refused and at least a quarter served", o.uploads)
	}
	for _, id := range o.refused {
		if u.runs(id) != 0 {
			t.Errorf("%s was refused and has run", id)
		}
	}
	if len(o.refused) > 0 {
		checkRefusalLine(t, v, o.refused[0])
	}
	f := v.Figures(time.Now()).Admission
	if len(f) != 2 || f[0].RefusedWithin != 0 || f[1].RefusedWithin != int64(len(o.refused)) {
		t.Errorf("figures %+v, want two ranks and %d refusals of the lower one", f, len(o.refused))
	}
}

// checkRefusalLine checks the line about an upload that found no room.
func checkRefusalLine(t *testing.T, v *runningVM, id string) {
	t.Helper()
	eventually(t, "the line is written", func() bool { return len(v.trace(t, id)) > 0 })
	l := v.trace(t, id)[0]
	for name, want := range map[string]string{"Reason": "NoCapacity", "Verdict": "NotRun", "Priority": "2", "RoutePriority": "2", "Use": "0", "Returned": "false", "AboveShare": "false"} {
		if got := l.Get(name); got != want {
			t.Errorf("%s = %q, want %q in %s", name, got, want, l.Text)
		}
	}
	if !strings.HasPrefix(l.Get("Depth"), "1.") {
		t.Errorf("Depth = %q, want less than the 1.75 of the upstream", l.Get("Depth"))
	}
}

// Without the switch, and with two ranks, requests are admitted as before: no depth is below 2.5.
func TestRanksAreUsedOnlyWhereTheConfigurationHasThree(t *testing.T) {
	two := threeRanks()
	two.Routes = []*route.Route{two.Routes[0], two.Routes[2]}
	for _, tc := range []struct {
		name   string
		rules  *route.Config
		change func(*settings.Entry)
	}{
		{"switched off", threeRanks(), func(cfg *settings.Entry) { cfg.Load.Admission = settings.Off }},
		{"two ranks", two, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPlatform()
			p.set(entry.TableRules, "config", tc.rules)
			register(p, "i-1", busyUpstream(t).addr())
			v := startVM(t, "a", p, tc.change)
			ready(t, v)
			if o := alternate(t, v, 60); len(o.refused) > 0 || o.changes[http.StatusOK] != 60 {
				t.Errorf("urgent requests: %v, uploads: %v, want all served", o.changes, o.uploads)
			}
			if f := v.Figures(time.Now()).Admission; f != nil {
				t.Errorf("figures %+v", f)
			}
		})
	}
}
