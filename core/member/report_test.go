package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const beat = 500 * time.Millisecond

// zonedFleet simulates the gossip of VMs in several zones: on each beat each VM exchanges
// with a peer of its zone, and some with one of another zone.
type zonedFleet struct {
	rand   *rand.Rand
	now    time.Time
	tables map[string]*Table
	names  []string
	// dead VMs do nothing; cut reports whether two VMs cannot reach each other.
	dead map[string]bool
	cut  func(a, b string) bool
	// stamps is the number of stamps and checksums sent since it was last reset.
	stamps int
}

func zoneName(vm string) string { return vm[:strings.Index(vm, "/")] }

func newZonedFleet(seed uint64, zones, perZone int) *zonedFleet {
	f := &zonedFleet{
		rand: rand.New(rand.NewPCG(seed, 1)), now: start, tables: make(map[string]*Table), dead: make(map[string]bool),
		cut: func(string, string) bool { return false },
	}
	for z := range zones {
		for i := range perZone {
			f.start(fmt.Sprintf("z%d/%03d", z, i), 1)
		}
	}
	return f
}

func (f *zonedFleet) start(name string, incarnation uint64) {
	f.tables[name] = NewTable(name, zoneName(name), incarnation, f.now, WithReports(), WithFailAfter(3*time.Second))
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
	}
	delete(f.dead, name)
}

// run simulates a number of beats.
func (f *zonedFleet) run(beats int) {
	for range beats {
		f.now = f.now.Add(beat)
		for _, name := range f.names {
			if !f.dead[name] {
				f.beat(name)
			}
		}
	}
}

func (f *zonedFleet) beat(name string) {
	t := f.tables[name]
	t.Tick(f.now)
	t.Publish(f.now, VM{Name: name, Zone: zoneName(name)})
	var zonePeers, others []string
	rank := 0 // Among the VMs of the zone, by name.
	for _, other := range t.Live(f.now) {
		switch {
		case zoneName(other) != zoneName(name):
			others = append(others, other)
		case other == name:
		default:
			zonePeers = append(zonePeers, other)
			if other < name {
				rank++
			}
		}
	}
	if rank < 2 {
		t.PublishReport(f.now)
	}
	if seeds := f.names[:min(3, len(f.names))]; len(t.Peers(f.now)) == 0 || f.rand.IntN(4) == 0 {
		others = []string{seeds[f.rand.IntN(len(seeds))]}
	}
	if partner := Partner(zonePeers, name, f.rand.IntN(64)); partner != "" {
		f.exchange(name, partner)
	}
	if len(others) > 0 && f.rand.IntN(len(zonePeers)+1) < 4 {
		f.exchange(name, others[f.rand.IntN(len(others))])
	}
}

// exchange merges the tables of two VMs, as the daemons do over the network.
func (f *zonedFleet) exchange(from, to string) {
	if from == to || f.dead[to] || f.cut(from, to) {
		return
	}
	a, b := f.tables[from], f.tables[to]
	scope := Scope{Global: true}
	if zoneName(from) == zoneName(to) {
		scope.Zone = zoneName(from)
	}
	f.level(a, b, scope)
	sums := a.Sums()
	f.stamps += len(sums)
	if zones := b.Differing(sums); len(zones) > 0 {
		f.level(a, b, Scope{Zones: zones})
	}
}

func (f *zonedFleet) level(a, b *Table, scope Scope) {
	digest := a.Digest(f.now, scope)
	d := b.Answer(f.now, scope, digest)
	f.stamps += len(digest) + len(d.Beats)
	a.MergeDelta(f.now, d)
	b.Merge(f.now, a.Get(f.now, scope, d.Want))
}

// states counts the states that a VM has in the tables of the running VMs that among selects.
func (f *zonedFleet) states(name string, among func(string) bool) map[State]int {
	n := make(map[State]int)
	for _, other := range f.names {
		if f.dead[other] || other == name || !among(other) {
			continue
		}
		m, ok := f.tables[other].FindPeer(f.now, name)
		if !ok {
			n[Gone]++
			continue
		}
		n[m.State]++
	}
	return n
}

func anyone(string) bool { return true }

// expect fails if a VM is not in state want in the tables of all VMs that among selects.
func (f *zonedFleet) expect(t *testing.T, name string, want State, among func(string) bool) {
	t.Helper()
	got := f.states(name, among)
	if len(got) != 1 || got[want] == 0 {
		t.Errorf("%s: states and number of VMs %v, want all %v", name, got, want)
	}
}

// Guards against digests that grow with the size of the fleet.
func TestBeatsStayInTheirZone(t *testing.T) {
	const perZone = 12
	perExchange := func(zones int) float64 {
		f := newZonedFleet(1, zones, perZone)
		f.run(40)
		for _, name := range f.names {
			if got := len(f.tables[name].Live(f.now)); got != zones*perZone {
				t.Fatalf("%s has %d live VMs, want %d", name, got, zones*perZone)
			}
		}
		f.stamps = 0
		f.run(20)
		return float64(f.stamps) / float64(20*len(f.names))
	}
	few, many := perExchange(4), perExchange(12)
	// Each zone adds a checksum and its reports, not its VMs.
	if most := few + 8*8; many > most {
		t.Errorf("12 zones of %d VMs: %.0f stamps per VM and beat, with 4 zones %.0f; want at most %.0f", perZone, many, few, most)
	}
}

// Guards against dead VMs that stay live in other zones, and against live VMs that become
// silent there.
func TestDeadVMsAreSilentEverywhere(t *testing.T) {
	for _, tc := range []struct {
		name   string
		dies   func(string) bool
		within time.Duration
	}{
		{"one VM", func(vm string) bool { return vm == "z1/007" }, 7 * time.Second},
		{"one reporter", func(vm string) bool { return vm == "z1/000" }, 7 * time.Second},
		{"both reporters", func(vm string) bool { return vm == "z1/000" || vm == "z1/001" }, 10 * time.Second},
		{"a zone", func(vm string) bool { return zoneName(vm) == "z1" }, 6 * time.Second},
		{"all but one VM of a zone", func(vm string) bool { return zoneName(vm) == "z1" && vm != "z1/009" }, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newZonedFleet(seed, 5, 10)
				f.run(30)
				for _, name := range f.names {
					f.dead[name] = tc.dies(name)
				}
				f.run(int(tc.within / beat))
				for _, name := range f.names {
					want := Live
					if f.dead[name] {
						want = Silent
					}
					f.expect(t, name, want, anyone)
				}
			}
		})
	}
}

// Guards against VMs that restart and stay silent in other zones.
func TestRestartedVMsBecomeLive(t *testing.T) {
	for seed := range uint64(3) {
		f := newZonedFleet(seed, 4, 8)
		f.run(30)
		restarts := func(vm string) bool { return zoneName(vm) == "z2" || vm == "z0/000" || vm == "z3/005" }
		for _, name := range f.names {
			f.dead[name] = restarts(name)
		}
		f.run(20)
		for _, name := range f.names {
			if restarts(name) {
				f.start(name, 2)
			}
		}
		f.run(12)
		for _, name := range f.names {
			f.expect(t, name, Live, anyone)
		}
	}
}

// Guards against a partitioned zone whose own VMs become silent to each other, and against
// VMs that stay silent once the partition has healed.
func TestPartitionedZoneKeepsOwnVMsLive(t *testing.T) {
	for seed := range uint64(3) {
		f := newZonedFleet(seed, 4, 8)
		f.run(30)
		inside := func(vm string) bool { return zoneName(vm) == "z1" }
		outside := func(vm string) bool { return !inside(vm) }
		f.cut = func(a, b string) bool { return inside(a) != inside(b) }
		f.run(14)
		f.expect(t, "z1/003", Live, inside)
		f.expect(t, "z1/003", Silent, outside)
		f.expect(t, "z2/003", Live, outside)
		f.expect(t, "z2/003", Silent, inside)
		f.cut = func(string, string) bool { return false }
		f.run(12)
		f.expect(t, "z1/003", Live, anyone)
		f.expect(t, "z2/003", Live, anyone)
	}
}

// Guards against a reporter that is partitioned from its zone and reports all of it silent.
func TestOneReportOfSilenceIsNotEnough(t *testing.T) {
	f := newZonedFleet(3, 4, 8)
	f.run(30)
	f.cut = func(a, b string) bool {
		return zoneName(a) == "z1" && zoneName(b) == "z1" && (a == "z1/000" || b == "z1/000")
	}
	f.run(20)
	f.expect(t, "z1/004", Live, func(vm string) bool { return zoneName(vm) != "z1" })
}

// Guards against exchanges that each need a new connection, and against beats that arrive
// too late.
func TestFewPartnersKeepAllVMsLive(t *testing.T) {
	for _, n := range []int{2, 3, 8, 33, 124} {
		f := newZonedFleet(uint64(n), 1, n)
		f.run(40)
		for range 20 {
			f.run(1)
			for _, name := range f.names {
				if got := len(f.tables[name].Live(f.now)); got != n {
					t.Fatalf("%d VMs: %s has %d live VMs", n, name, got)
				}
			}
		}
		partners := make(map[string]bool)
		for pick := range 64 {
			partner := Partner(f.tables[f.names[0]].Live(f.now)[1:], f.names[0], pick)
			if partner == f.names[0] {
				t.Errorf("%d VMs: the first is its own partner", n)
			}
			partners[partner] = true
		}
		if most := 7; len(partners) > most {
			t.Errorf("%d VMs: the first has %d partners, want at most %d", n, len(partners), most)
		}
	}
}
