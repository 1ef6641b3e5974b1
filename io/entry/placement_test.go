package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// sticky is config with sticky routes.
func sticky(version uint64) *route.Config {
	cfg := config(version)
	for _, r := range cfg.Routes {
		r.Sticky = true
	}
	return cfg
}

// targetsOf requests each of n objects once from a VM and returns which upstreams responded.
func targetsOf(t *testing.T, v *runningVM, n int) []string {
	t.Helper()
	list := make([]string, n)
	for i := range list {
		r := v.request(t, http.MethodGet, "/get/1", fmt.Sprint("object", i), "")
		if r.status != http.StatusOK {
			t.Fatalf("object %d: %d, %v", i, r.status, r.err)
		}
		list[i] = r.body
	}
	return list
}

func differences(a, b []string) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// Two VMs serve a region's objects. When one has placed an object, the other must send
// requests for it to the same upstream, though by itself it would have placed it elsewhere.
// Then all VMs lose power at once: the VMs that start must use the placements that the
// platform has stored, or no upstream would have its objects cached.
func TestPlacementsAreSharedAndPersisted(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", sticky(1))
	for i := range 12 {
		id := fmt.Sprint("i-", i)
		register(p, id, startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, id) }).addr())
	}
	a := startVM(t, "a", p, nil)
	b := startVM(t, "b", p, func(cfg *settings.Entry) { cfg.Seeds = []string{a.cfg.PeerAddr} })
	ready(t, a)
	ready(t, b)
	hasPlacements := func(v *runningVM) func() bool {
		return func() bool { return v.Figures(time.Now()).Placements > 0 }
	}
	const objects = 40
	eventually(t, "the first VM has placements", func() bool { targetsOf(t, a, objects); return hasPlacements(a)() })
	before := targetsOf(t, a, objects)
	eventually(t, "the other VM has the placements", func() bool { return differences(before, targetsOf(t, b, objects)) <= 1 })
	eventually(t, "the platform has stored them", func() bool {
		data, err := p.Placements(t.Context(), "r")
		return err == nil && len(data) > objects*8
	})
	for _, v := range []*runningVM{a, b} {
		v.stop()
		<-v.done
	}
	c := startVM(t, "c", p, nil)
	ready(t, c)
	eventually(t, "the VM that starts has placements", hasPlacements(c))
	if n := differences(before, targetsOf(t, c, objects)); n > 3 {
		t.Errorf("%d of %d objects are elsewhere after all VMs were restarted", n, objects)
	}
}
