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
	// pushFanout is how many VMs a change is handed to by each VM that takes it
	// in. At three a change reaches 94 of 100 VMs, worked out; the others hear of it
	// when they next ask. All but one are of its own region.
	pushFanout = 3
	// pushCrossings is how many VMs of a region hand a change on to another region. Handed
	// to any VM, two of three copies would cross between regions, as many as there are VMs.
	pushCrossings = 4
	// pushEvery bounds how often a VM pushes, so that changes in quick succession
	// travel together.
	pushEvery = 150 * time.Millisecond
	// pushSpan is how far back the changes reach that are handed over: a VM whose
	// copy is older cannot take them, and asks a watcher within this time.
	pushSpan = 2 * time.Second
	// maxPushed bounds the rows of one push. What is more is a whole table, which
	// those who lack it ask for themselves.
	maxPushed = 64
	// offerAbove is the size in bytes above which changes are offered: whoever lacks them
	// takes them, at the price of one round trip. A VM is handed each change three times on
	// average; rules of 77 teams, some KB packed, were most of what VMs told each other.
	offerAbove = 1 << 10
)

// pusher hands changes of this VM's copies to others as soon as they are known.
//
// VMs that only ask hear of a change one after the other: with two watchers, of
// which one may know it a second before the other, the last of 80 VMs heard of a
// configuration about two seconds after the first.
type pusher struct {
	vm *VM
	// heads are the versions of the copies at past moments, oldest first.
	heads []pastHeads
	// sent are the newest rows that were handed over, by table.
	sent map[string]uint64
}

// pastHeads is how far the copies were at a moment.
type pastHeads struct {
	at       time.Time
	versions map[string]uint64
}

// loop pushes what has changed.
func (p *pusher) loop(ctx context.Context) {
	p.sent = make(map[string]uint64)
	look := time.NewTicker(pushSpan / 2)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.vm.toPush:
		case <-look.C: // How far the copies were has to be known without changes too.
		}
		now := time.Now()
		if deltas := p.changes(now); len(deltas) > 0 {
			p.push(ctx, now, deltas)
		}
		if !lifecycle.Sleep(ctx, pushEvery) {
			return
		}
	}
}

// changes returns the deltas that have a row which was not handed over yet.
func (p *pusher) changes(now time.Time) []replica.Delta {
	from := p.remember(now)
	var list []replica.Delta
	for name, t := range p.vm.replicas {
		if !t.Loaded() || t.NewestRowVersion() <= p.sent[name] {
			continue
		}
		first := p.sent[name] == 0
		p.sent[name] = t.NewestRowVersion()
		if d := t.Since(now, from[name]); !first && len(d.Rows) <= maxPushed {
			list = append(list, d)
		}
	}
	return list
}

// remember notes how far the copies are, and returns how far they were pushSpan
// ago.
func (p *pusher) remember(now time.Time) map[string]uint64 {
	here := pastHeads{at: now, versions: make(map[string]uint64)}
	for name, t := range p.vm.replicas {
		here.versions[name] = t.Head(now).Version
	}
	p.heads = append(p.heads, here)
	for len(p.heads) > 1 && now.Sub(p.heads[1].at) >= pushSpan {
		p.heads = p.heads[1:]
	}
	return p.heads[0].versions
}

// push starts handing deltas to some other VMs, or an exchange of copies with them.
func (p *pusher) push(ctx context.Context, now time.Time, deltas []replica.Delta) {
	receivers := p.receivers(now)
	if size(deltas) > offerAbove {
		p.vm.startExchanges(ctx, receivers, len(receivers), nil)
		return
	}
	for _, addr := range receivers {
		p.vm.background.Add(1)
		go (&handing{vm: p.vm, addr: addr, deltas: deltas}).run(ctx)
	}
}

// size is how many bytes the rows of deltas take on their way, about.
func size(deltas []replica.Delta) int {
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

// receivers are the addresses of the VMs that changes are handed to. A watcher, which
// hears of a change first, always hands it on to another region.
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
	crosses := len(p.vm.watchers(now)) == 0 || rand.IntN(len(near)+1) < pushCrossings
	if !crosses && len(near) >= pushFanout {
		return near[:pushFanout]
	}
	near = near[:min(pushFanout-1, len(near))]
	return append(near, far[:min(pushFanout-len(near), len(far))]...)
}

// handing hands changes to one VM.
type handing struct {
	vm     *VM
	addr   string
	deltas []replica.Delta
}

// run hands them over once: a VM that is missed asks by itself.
func (h *handing) run(ctx context.Context) {
	defer h.vm.background.Done()
	if err := h.vm.peers.HandTables(ctx, h.addr, h.deltas); err != nil {
		h.vm.log.WithFields(logrus.Fields{"Addr": h.addr, "Err": err}).Debug("PushFailed")
	}
}
