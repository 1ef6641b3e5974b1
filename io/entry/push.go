package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/member"
	"auburnlatch/core/replica"
	"auburnlatch/io/lifecycle"
)

const (
	// pushFanout is how many VMs each VM pushes a change to when it receives it. With
	// three, a change reaches 94 of 100 VMs; the others receive it on their next pull. All
	// but one of the receivers are of the VM's own region.
	pushFanout = 3
	// crossRegionPushers is how many VMs of a region push a change to another region. If
	// changes were pushed to VMs of any region, two of three copies would cross between
	// regions, and their number would grow with that of the VMs.
	crossRegionPushers = 4
	// pushInterval bounds how often a VM pushes, so that changes in quick succession
	// are sent together.
	pushInterval = 150 * time.Millisecond
	// pushWindow is how far back the pushed changes reach. A VM whose copy is older
	// cannot apply them, and pulls from a reader within this time.
	pushWindow = 2 * time.Second
	// maxPushedRows bounds the rows of one push. More rows are a whole table, which the
	// VMs that lack it pull themselves.
	maxPushedRows = 64
	// exchangeAbove is the size in bytes above which changes are offered in an exchange:
	// a VM that lacks them takes them, at the price of one round trip. Each VM is pushed a
	// change three times on average, and rules of 77 teams, some KB packed, were most of
	// the traffic between VMs.
	exchangeAbove = 1 << 10
)

// pusher pushes changes of this VM's copies to others as soon as they are known.
//
// With pulls alone, VMs learn of a change one after the other: with two readers, of
// which one may know it a second before the other, the last of 80 VMs received a
// configuration about two seconds after the first.
type pusher struct {
	vm *VM
	// heads are the versions of the copies at past moments, oldest first.
	heads []pastHeads
	// pushed are the newest versions of rows that were pushed, with their eras, by table.
	pushed map[string]replica.Head
}

// pastHeads are the heads of the copies at a moment.
type pastHeads struct {
	at    time.Time
	heads map[string]replica.Head
}

// loop pushes changes until ctx ends.
func (p *pusher) loop(ctx context.Context) {
	p.pushed = make(map[string]replica.Head)
	tick := time.NewTicker(pushWindow / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.vm.toPush:
		case <-tick.C: // Versions have to be recorded without changes too.
		}
		now := time.Now()
		if deltas := p.changes(now); len(deltas) > 0 {
			p.push(ctx, now, deltas)
		}
		if !lifecycle.Sleep(ctx, pushInterval) {
			return
		}
	}
}

// changes returns the deltas with a row that was not pushed yet. The first rows of an era are
// not pushed: VMs without them need the whole table, which they pull.
func (p *pusher) changes(now time.Time) []replica.Delta {
	from := p.recordHeads(now)
	var list []replica.Delta
	for name, t := range p.vm.replicas {
		newest, pushed := t.NewestRow(), p.pushed[name]
		if !t.Loaded() || !pushed.Before(newest) {
			continue
		}
		p.pushed[name] = newest
		if pushed.Version == 0 || pushed.Era != newest.Era || from[name].Era != newest.Era {
			continue
		}
		if d := t.Since(now, from[name].Version); len(d.Rows) <= maxPushedRows {
			list = append(list, d)
		}
	}
	return list
}

// recordHeads records the heads of the copies, and returns those of pushWindow ago.
func (p *pusher) recordHeads(now time.Time) map[string]replica.Head {
	current := pastHeads{at: now, heads: make(map[string]replica.Head)}
	for name, t := range p.vm.replicas {
		current.heads[name] = t.Head(now)
	}
	p.heads = append(p.heads, current)
	for len(p.heads) > 1 && now.Sub(p.heads[1].at) >= pushWindow {
		p.heads = p.heads[1:]
	}
	return p.heads[0].heads
}

// push starts pushing deltas to some other VMs, or an exchange of copies with them.
func (p *pusher) push(ctx context.Context, now time.Time, deltas []replica.Delta) {
	receivers := p.receivers(now)
	if encodedSize(deltas) > exchangeAbove {
		p.vm.startExchanges(ctx, receivers, len(receivers), nil)
		return
	}
	for _, addr := range receivers {
		p.vm.background.Add(1)
		go (&tablePush{vm: p.vm, addr: addr, deltas: deltas}).run(ctx)
	}
}

// encodedSize is the approximate size of the rows of deltas in bytes, as sent.
func encodedSize(deltas []replica.Delta) int {
	n := 0
	for _, d := range deltas {
		for _, r := range d.Rows {
			if r.Packed != nil {
				n += len(r.Packed)
			} else {
				n += len(r.Value)
			}
		}
	}
	return n
}

// receivers returns the addresses of the VMs that changes are pushed to. A reader, which
// is the first to have a change, always pushes it to another region.
func (p *pusher) receivers(now time.Time) []string {
	var near, far []string
	cfg := p.vm.cfg.Load()
	for _, m := range p.vm.members.Peers(now) {
		switch {
		case m.State != member.Live:
		case cfg.Regions[m.VM.Zone] == cfg.Region:
			near = append(near, m.VM.Address.Peer)
		default:
			far = append(far, m.VM.Address.Peer)
		}
	}
	for _, list := range [][]string{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	crosses := len(p.vm.readerAddrs(now)) == 0 || rand.IntN(len(near)+1) < crossRegionPushers
	if !crosses && len(near) >= pushFanout {
		return near[:pushFanout]
	}
	near = near[:min(pushFanout-1, len(near))]
	return append(near, far[:min(pushFanout-len(near), len(far))]...)
}

// tablePush pushes changes to one VM.
type tablePush struct {
	vm     *VM
	addr   string
	deltas []replica.Delta
}

// run pushes once: a VM that is missed pulls the changes itself.
func (h *tablePush) run(ctx context.Context) {
	defer h.vm.background.Done()
	if err := h.vm.peerClient.PushTables(ctx, h.addr, h.deltas); err != nil {
		h.vm.log.WithFields(logrus.Fields{"Addr": h.addr, "Err": err}).Debug("PushFailed")
	}
}
