package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/replica"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// countingPlatform counts one VM's calls.
type countingPlatform struct {
	*fakePlatform
	reads, lists atomic.Int64
}

func (p *countingPlatform) Read(ctx context.Context, table string) (replica.Delta, error) {
	p.reads.Add(1)
	return p.fakePlatform.Read(ctx, table)
}

func (p *countingPlatform) VMs(ctx context.Context) ([]string, error) {
	p.lists.Add(1)
	return p.fakePlatform.VMs(ctx)
}

func (p *fakePlatform) registered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.vms)
}

// fleet starts n VMs on one platform; the first is the seed of the others.
func fleet(t *testing.T, p *fakePlatform, n int, change func(*settings.Entry)) (vms []*runningVM, calls []*countingPlatform) {
	t.Helper()
	seed := ""
	for i := range n {
		c := &countingPlatform{fakePlatform: p}
		v := startVM(t, fmt.Sprint("vm", i), c, func(cfg *settings.Entry) {
			if seed == "" {
				seed = cfg.PeerAddr
			}
			cfg.Seeds = []string{seed}
			if change != nil {
				change(cfg)
			}
		})
		vms, calls = append(vms, v), append(calls, c)
	}
	return vms, calls
}

// When all VMs of a large fleet start for the first time, only the seed must read the
// platform, and the others must get its copies before callers come. When each VM read all
// rules and upstreams, 195 VMs made 2,000 calls.
func TestFirstStartReadsThePlatformOnce(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	vms, calls := fleet(t, p, 5, func(cfg *settings.Entry) { cfg.FirstStart = true })
	for i, v := range vms {
		ready(t, v)
		if n := calls[i].reads.Load(); i > 0 && n > 0 {
			t.Errorf("VM %d read %d tables from the platform", i, n)
		}
	}
	if n := calls[0].reads.Load(); n != 2 {
		t.Errorf("the seed read %d tables, want both once", n)
	}
}

// All VMs start for the first time and the given seed does not exist. They must read the
// platform themselves, soon enough for the first callers.
func TestFirstStartWithoutSeeds(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.FirstStart, cfg.Seeds = true, []string{freeAddr(t)} })
	ready(t, v)
}

// Only a few VMs must register: that is enough for a VM whose seeds are stale. If each VM
// registered its address and read all others', it would make two calls, and a restarted
// fleet would make them all at once.
func TestFewVMsRegister(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	vms, calls := fleet(t, p, 8, nil)
	eventually(t, "all know each other", func() bool {
		for _, v := range vms {
			if v.Figures(time.Now()).LiveVMs != len(vms) {
				return false
			}
		}
		return true
	})
	eventually(t, "some have registered", func() bool { return p.registered() >= 3 })
	// The seed was isolated when it started, so it may be a fourth.
	if n := p.registered(); n > 4 {
		t.Errorf("%d of %d VMs have registered", n, len(vms))
	}
	idle := 0
	for _, c := range calls {
		if c.lists.Load() == 0 {
			idle++
		}
	}
	if idle < len(vms)-4 {
		t.Errorf("only %d of %d VMs have not read the registered addresses", idle, len(vms))
	}
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{freeAddr(t)} })
	eventually(t, "a VM with a stale seed finds the others", func() bool {
		return late.Figures(time.Now()).LiveVMs == len(vms)+1
	})
}
