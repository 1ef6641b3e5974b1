package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/io/lifecycle"
)

const (
	// vmsEvery is the interval between reads of the registered VMs.
	vmsEvery = 30 * time.Second
	// lonelyAfter is how long a VM that has started listens before it takes itself for
	// one that hears nobody. Where all start at once its seeds may be up half a second
	// later, and each exchange across regions takes a quarter of one.
	lonelyAfter = 2 * time.Second
	// lonelyEvery is the interval for a VM that hears no other.
	lonelyEvery = 1500 * time.Millisecond
	// registrars is how many VMs register their addresses for those whose seeds are
	// stale. One that starts needs to reach one of them.
	registrars = 3
)

// addresses are those at which other VMs registered. The zero value is ready.
type addresses struct {
	mu   sync.Mutex
	list []string
}

func (a *addresses) set(list []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = list
}

func (a *addresses) get() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// addressLoop registers this VM's address where it is one of the registrars or hears
// nobody, and reads those of the others: VMs that start with stale seeds find the
// others so, and VMs that were cut off from each other do again.
func (v *VM) addressLoop(ctx context.Context) {
	cfg := v.cfg.Load()
	announced := false
	if !lifecycle.Sleep(ctx, lonelyAfter) {
		return
	}
	for {
		wait := vmsEvery
		now := time.Now()
		lonely := len(v.members.Live(now)) < 2
		if !lonely && !v.registers(now) {
			if !lifecycle.Sleep(ctx, lonelyEvery) {
				return
			}
			continue
		}
		if !announced {
			v.announced.Store(true) // A call that fails may have been carried out.
			announced = v.announce(ctx, cfg.Name, cfg.PeerAddr)
		}
		if !v.readAddresses(ctx) || !announced || lonely {
			wait = lonelyEvery
		}
		if !lifecycle.Sleep(ctx, wait) {
			return
		}
	}
}

// registers reports whether this VM is one of the registrars. One that has just started
// does not know: of VMs that start together each would be.
func (v *VM) registers(now time.Time) bool {
	if now.Sub(v.started) < joinHold {
		return false
	}
	return slices.Contains(dispatch.First("register", v.members.Live(now), registrars), v.cfg.Load().Name)
}

func (v *VM) announce(ctx context.Context, name, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.counts.platformCalls.Add(1)
	if err := v.platform.Announce(ctx, name, addr); err != nil {
		v.log.WithField("Err", err).Warn("AddressNotAnnounced")
		return false
	}
	return true
}

func (v *VM) readAddresses(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.counts.platformCalls.Add(1)
	list, err := v.platform.VMs(ctx)
	if err != nil {
		v.log.WithField("Err", err).Warn("AddressesNotRead")
		return false
	}
	v.known.set(list)
	return true
}
