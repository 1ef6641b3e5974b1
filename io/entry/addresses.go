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
	// addrReadInterval is the interval between reads of the registered VMs.
	addrReadInterval = 30 * time.Second
	// isolatedAfter is how long a VM that has started waits before it considers itself
	// isolated. Where all VMs start at once its seeds may be up half a second later, and
	// an exchange across regions takes a quarter of a second.
	isolatedAfter = 2 * time.Second
	// isolatedInterval is the interval between reads for a VM that reaches no other.
	isolatedInterval = 1500 * time.Millisecond
	// registrars is how many VMs register their addresses, for VMs whose seeds are
	// stale. A starting VM needs to reach one of them.
	registrars = 3
)

// addresses are the registered peer addresses of VMs. The zero value is ready to use.
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

// addressLoop registers this VM's address if it is one of the registrars or is isolated,
// and reads the registered addresses. This way VMs that start with stale seeds find the
// others, and VMs that were partitioned from each other find each other again.
func (v *VM) addressLoop(ctx context.Context) {
	cfg := v.cfg.Load()
	announced := false
	if !lifecycle.Sleep(ctx, isolatedAfter) {
		return
	}
	for {
		wait := addrReadInterval
		now := time.Now()
		isolated := len(v.members.Live(now)) < 2
		if !isolated && !v.registers(now) {
			if !lifecycle.Sleep(ctx, isolatedInterval) {
				return
			}
			continue
		}
		if !announced {
			v.announced.Store(true) // A failed call may have taken effect.
			announced = v.announce(ctx, cfg.Name, cfg.PeerAddr)
		}
		if !v.readAddresses(ctx) || !announced || isolated {
			wait = isolatedInterval
		}
		if !lifecycle.Sleep(ctx, wait) {
			return
		}
	}
}

// registers reports whether this VM is one of the registrars. A VM that has just started
// cannot know: if several start together, each would think it is.
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
	v.registeredAddrs.set(list)
	return true
}
