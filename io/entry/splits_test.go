package entry_test

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/io/entry"
)

// splitConfig has a route /get/ that is split between the services s and t.
func splitConfig(version uint64, s, t float64) *route.Config {
	cfg := config(version)
	cfg.Services = append(cfg.Services, &route.Service{Name: "t", ColdPerSecond: 10})
	cfg.Routes[0].Parts = []route.Part{{Service: "s", Weight: s}, {Service: "t", Weight: t}}
	return cfg
}

// startSplit starts a VM and upstreams of the services s and t.
func startSplit(t *testing.T, cfg *route.Config) (p *fakePlatform, v *runningVM) {
	t.Helper()
	p = newPlatform()
	p.set(entry.TableRules, "config", cfg)
	for _, service := range []string{"s", "t"} {
		u := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(service)) })
		p.set(entry.TableTargets, "i-"+service, target.Registration{Service: service, Addr: u.addr(), Zone: "z", Slots: 4})
	}
	v = startVM(t, "a", p, nil)
	ready(t, v)
	return p, v
}

// share sends n requests and returns the share of them that the service s answered. All but each tenth
// concern one object.
func (v *runningVM) share(t *testing.T, prefix string, n int) float64 {
	t.Helper()
	got := 0
	for i := range n {
		id, object := fmt.Sprint(prefix, i), "busy"
		if i%10 == 0 {
			object = id
		}
		r := v.requestObject(t, http.MethodGet, "/get/1", id, object, "")
		if r.status != http.StatusOK {
			t.Fatalf("%s: %d %v", id, r.status, r.err)
		}
		if r.body == "s" {
			got++
		}
	}
	return float64(got) / float64(n)
}

// Guards against requests under earlier weights, or one object, that decide the parts of later requests.
func TestSplitFollowsChangedWeights(t *testing.T) {
	p, v := startSplit(t, splitConfig(1, 0.85, 0.15))
	for i, weight := range []float64{0.85, 0.15, 0.85, 0.15} {
		version := uint64(i + 1)
		if version > 1 {
			p.set(entry.TableRules, "config", splitConfig(version, weight, 1-weight))
			eventually(t, "the version is in force", func() bool { return v.Figures(time.Now()).ConfigVersion == version })
		}
		if share := v.share(t, fmt.Sprint("v", version, "-"), 300); math.Abs(share-weight) > 0.1 {
			t.Errorf("version %d: s got %.2f of 300 requests, its weight is %.2f", version, share, weight)
		}
	}
}

// The lines about splits must tell how many requests went to each part by which version.
func TestSplitsAreLogged(t *testing.T) {
	_, v := startSplit(t, splitConfig(1, 1, 3))
	const n = 40
	got := v.share(t, "r", n)
	answered := map[string]int{}
	eventually(t, "all requests are logged", func() bool {
		answered = splitLines(t, v, "1")
		return answered["s"]+answered["t"] == n
	})
	if answered["s"] != int(math.Round(got*n)) {
		t.Errorf("the lines say that s answered %d requests, callers %v", answered["s"], got*n)
	}
}

// splitLines returns the requests answered by each part of a version, as logged.
func splitLines(t *testing.T, v *runningVM, version string) map[string]int {
	t.Helper()
	answered := map[string]int{}
	for _, l := range v.readLog(t) {
		if l.Event != "SplitUsed" || l.Get("ConfigVersion") != version {
			continue
		}
		var n int
		if _, err := fmt.Sscan(l.Get("Answered"), &n); err != nil {
			t.Fatal(err)
		}
		answered[l.Get("Service")] += n
	}
	return answered
}
