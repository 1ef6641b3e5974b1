package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"auburnlatch/platform/standin"
)

// cutMode is how a VM is cut off from all upstreams.
type cutMode int

const (
	notCut cutMode = iota
	// cutSilent drops all data, on open connections and on new ones.
	cutSilent
	// cutReset resets open connections and new ones.
	cutReset
	// cutRefused resets new connections only.
	cutRefused
)

var cutNames = [...]string{"", "silent", "reset", "refused"}

const (
	// cutInterval is the mean time between the end of one cut and the next.
	cutInterval = 1500 * time.Millisecond
	// maxCut is the longest duration of a cut while other faults are injected, and lastCut that
	// of the one after them, in which first attempts are counted.
	maxCut  = 5 * time.Second
	lastCut = 8 * time.Second
	// The share of first attempts served at VMs that are cut off, relative to the others, that is
	// required from detectTime after the cut on, and from settledTime.
	detectTime, detectShare   = 2 * time.Second, 0.9
	settledTime, settledShare = 5 * time.Second, 0.95
	// minServed is the share required at the other VMs: upstreams fail one request in fifty.
	minServed = 0.95
)

// links are the connections between VMs and upstreams, as the proxies to the upstreams see them.
type links struct {
	mu    sync.Mutex
	vms   []*vm
	cuts  map[*vm]cutMode
	pairs map[*pair]bool
}

// pair is a VM's connection to a proxy and the proxy's to the upstream.
type pair struct {
	vm, upstream net.Conn
	// silent is set while data is dropped. lost is set once some was.
	silent, lost atomic.Bool
}

// accept registers a pair, and reports whether its connection is accepted.
func (l *links) accept(p *pair) bool {
	var owner *vm
	for i := 0; i < ownerTries && owner == nil && l.anyCut(); i++ {
		owner = l.owners([]*pair{p})[p]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pairs == nil {
		l.cuts, l.pairs = make(map[*vm]cutMode), make(map[*pair]bool)
	}
	switch l.cuts[owner] {
	case cutReset, cutRefused:
		return false
	case cutSilent:
		p.silent.Store(true)
	case notCut:
	}
	l.pairs[p] = true
	return true
}

// ownerTries is how often the owner of a connection is looked for: the kernel's list of connections
// may lack some while others come and go.
const ownerTries = 5

func (l *links) anyCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.cuts) > 0
}

func (l *links) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// drops reports whether data of a pair is dropped.
func (l *links) drops(p *pair) bool {
	if !p.silent.Load() {
		return false
	}
	p.lost.Store(true)
	return true
}

// set cuts a VM off, or ends that. A connection that has lost data does not go on.
func (l *links) set(v *vm, mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil {
		l.cuts, l.pairs = make(map[*vm]cutMode), make(map[*pair]bool)
	}
	var all []*pair
	for p := range l.pairs {
		all = append(all, p)
	}
	for p, owner := range l.owners(all) {
		if owner != v {
			continue
		}
		p.silent.Store(mode == cutSilent)
		if mode == cutReset || mode == notCut && p.lost.Load() {
			resetConn(p.vm)
			resetConn(p.upstream)
		}
	}
	if l.cuts[v] = mode; mode == notCut {
		delete(l.cuts, v)
	}
}

// owners returns which VM opened each pair. TCP does not tell who is at the other end of a
// connection, so the sockets of the VMs' processes are compared with it.
func (l *links) owners(pairs []*pair) map[*pair]*vm {
	byInode := make(map[uint32]*vm)
	for _, v := range l.vms {
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", v.pid()))
		for _, fd := range fds {
			var inode uint32
			if name, err := os.Readlink(fd); err != nil {
				continue // Closed since.
			} else if _, err := fmt.Sscanf(name, "socket:[%d]", &inode); err == nil {
				byInode[inode] = v
			}
		}
	}
	out := make(map[*pair]*vm, len(pairs))
	for _, p := range pairs {
		inode, err := peerInode(p.vm)
		if v := byInode[inode]; err == nil && v != nil {
			out[p] = v
		}
	}
	return out
}

// cutter cuts VMs off from all upstreams, on a schedule determined by a seed: one VM, all of an
// availability zone, or most of the fleet.
type cutter struct {
	fleet *fleet
	rnd   *rand.Rand
	count int
	// last is the cut after all other faults: when it began and ended, its mode and the VMs.
	last     span
	lastMode cutMode
	lastVMs  map[string]bool
}

// pick returns the VMs of the next cut. At least one VM is not among them.
func (c *cutter) pick() []*vm {
	all := c.fleet.vms
	switch c.rnd.IntN(3) {
	case 0:
		return []*vm{all[c.rnd.IntN(len(all))]}
	case 1:
		var list []*vm
		first := c.rnd.IntN(min(4, len(all)))
		for i := first; i < len(all); i += 4 { // See zoneOf.
			list = append(list, all[i])
		}
		return list
	default:
		left := c.rnd.IntN(len(all))
		var list []*vm
		for i, v := range all {
			if i != left {
				list = append(list, v)
			}
		}
		return list
	}
}

// cut cuts VMs off for d.
func (c *cutter) cut(list []*vm, mode cutMode, d time.Duration) {
	for _, v := range list {
		defer c.fleet.exemptions.begin(v.name + relayed)()
		c.fleet.links.set(v, mode)
	}
	<-time.After(d)
	for _, v := range list {
		c.fleet.links.set(v, notCut)
	}
	c.count++
}

func (c *cutter) mode() cutMode { return cutMode(1 + c.rnd.IntN(len(cutNames)-1)) }

// run cuts VMs off until end, while other faults go on.
func (c *cutter) run(ctx context.Context, end time.Time) {
	for ctx.Err() == nil {
		<-time.After(time.Duration(c.rnd.ExpFloat64() * float64(cutInterval)))
		if !time.Now().Before(end) {
			return
		}
		c.cut(c.pick(), c.mode(), time.Duration(c.rnd.Int64N(int64(maxCut))))
	}
}

// runLast makes the cut in which first attempts are counted.
func (c *cutter) runLast() {
	list := c.pick()
	c.lastMode, c.lastVMs = c.mode(), make(map[string]bool)
	for _, v := range list {
		c.lastVMs[v.name] = true
	}
	c.last.from = time.Now()
	c.cut(list, c.lastMode, lastCut)
	c.last.to = time.Now()
}

// judge checks the first attempts during the last cut and after it.
func (c *cutter) judge(l *ledger) (broken []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range []struct {
		name  string
		share float64
		span
	}{
		{"from 2 s after a cut", detectShare, span{c.last.from.Add(detectTime), c.last.from.Add(settledTime)}},
		{"from 5 s after a cut", settledShare, span{c.last.from.Add(settledTime), c.last.to}},
		{"after a cut", settledShare, span{c.last.to, c.last.to.Add(observeTime)}},
	} {
		var n, of [2]int // At the other VMs and at those that are cut off.
		for _, e := range l.entries {
			if e.probe || e.canceled || e.at.Before(s.from) || !e.at.Before(s.to) {
				continue
			}
			i := 0
			if c.lastVMs[e.vm] {
				i = 1
			}
			// What no VM may be sent is refused.
			refused := i == 1 && e.home && !c.relayable(e.vm) && e.status == 503
			if of[i]++; refused || e.status == 200 && e.intact {
				n[i]++
			}
		}
		others, cut := share(n[0], of[0]), share(n[1], of[1])
		if cut < s.share*others || others < minServed {
			broken = append(broken, fmt.Sprintf("%s (%s, %d VMs): served %d of %d first attempts at the cut-off VMs, %d of %d at the others", s.name, cutNames[c.lastMode], len(c.lastVMs), n[1], of[1], n[0], of[0]))
		}
	}
	return broken
}

// relayable reports whether a VM that is cut off may send the body of a request with a home to any
// that is not: one of the home or of its own region.
func (c *cutter) relayable(from string) bool {
	regions := make(map[string]string) // By VM.
	for i, v := range c.fleet.vms {
		_, regions[v.name] = zoneOf(i)
	}
	for name, region := range regions {
		if !c.lastVMs[name] && (region == standin.HomeRegion || region == regions[from]) {
			return true
		}
	}
	return false
}

func share(n, of int) float64 { return float64(n) / max(1, float64(of)) }
