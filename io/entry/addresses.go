package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/dispatch"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/settings"
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
	r := &registration{vm: v, cfg: v.cfg.Load()}
	if !lifecycle.Sleep(ctx, isolatedAfter) {
		return
	}
	for {
		r.update(ctx, time.Now())
		if !lifecycle.Sleep(ctx, isolatedInterval) {
			return
		}
	}
}

// registration is the registration of a VM's address.
type registration struct {
	vm        *VM
	cfg       *settings.Entry // As of the process's start, as is its address.
	announced bool
	era       uint64 // The era in which the address was announced.
	nextRead  time.Time
}

// update announces the address, again if the platform may have lost it, and reads the
// registered addresses when they are due.
func (r *registration) update(ctx context.Context, now time.Time) {
	v := r.vm
	isolated := len(v.members.Live(now)) < 2
	if !isolated && !v.registers(now) {
		return
	}
	if era := v.era(); !r.announced || r.era != era {
		v.announced.Store(true) // A failed call may have taken effect.
		r.announced, r.era = v.announce(ctx, r.cfg.Name, r.cfg.PeerAddr), era
		r.nextRead = now
	}
	if now.Before(r.nextRead) && !isolated {
		return
	}
	if v.readAddresses(ctx) && r.announced {
		r.nextRead = now.Add(addrReadInterval)
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
