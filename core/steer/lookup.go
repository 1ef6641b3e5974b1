package steer

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
)

// The number of VMs that a lookup returns.
const (
	ownZoneVMs      = 3
	otherZones      = 2
	vmsPerOtherZone = 1
)

// Answer is the result of a lookup. It is shared and must not be modified.
type Answer struct {
	Place string
	// Zone is the origin zone of the caller.
	Zone string
	// VMs are the VMs to use, best first.
	VMs []member.Address
}

// Lookups is an immutable snapshot for lookups. A lookup takes no lock and
// allocates nothing. A new snapshot shares unchanged parts with the previous
// one.
type Lookups struct {
	Version uint64

	inv      *inventory.Inventory
	vms      map[string][]member.Address // By zone; VMs that take new requests.
	blocks   *bart.Table[*placeEntry]    // By address block.
	places   map[string]*placeEntry      // By name.
	zoneVMs  map[string][]member.Address // By zone; candidates for its places' answers.
	fallback *Answer                     // For callers in no known place.
}

// placeEntry is the answer for a place. It is shared by snapshots and must not
// be modified once a snapshot holds it; a changed place gets a new entry.
type placeEntry struct {
	answer Answer
	place  *inventory.Place
}

// NewLookups returns a snapshot for an inventory and the VMs in views. Callers
// in no known place get VMs of the zone home. prev is the previous snapshot or
// nil; it is returned if nothing that lookups depend on has changed.
func NewLookups(prev *Lookups, inv *inventory.Inventory, views []member.ZoneView, home string) *Lookups {
	if prev == nil {
		prev = &Lookups{inv: &inventory.Inventory{}, blocks: &bart.Table[*placeEntry]{}}
	}
	vms := make(map[string][]member.Address, len(views))
	for _, v := range views {
		vms[v.Zone] = accepting(v.VMs)
	}
	sameVMs := maps.EqualFunc(vms, prev.vms, slices.Equal)
	if sameVMs && inv == prev.inv {
		return prev
	}
	l := &Lookups{
		Version: inv.Version, inv: inv, vms: vms, blocks: prev.blocks, places: make(map[string]*placeEntry, len(inv.Places)),
	}
	changed := l.setZoneVMs(prev, sameVMs)
	l.removePlaces(prev)
	for _, p := range inv.Places {
		l.addPlace(prev, p, changed[p.Zone])
	}
	l.fallback = &Answer{Zone: home, VMs: l.zoneVMs[home]}
	return l
}

// setZoneVMs sets the candidates of each zone. It returns the zones whose
// candidates differ from those in prev.
func (l *Lookups) setZoneVMs(prev *Lookups, sameVMs bool) map[string]bool {
	if sameVMs && sameSlice(l.inv.Zones, prev.inv.Zones) && sameSlice(l.inv.Links, prev.inv.Links) {
		l.zoneVMs = prev.zoneVMs
		return nil
	}
	l.zoneVMs = make(map[string][]member.Address, len(l.inv.Zones))
	changed := make(map[string]bool)
	for _, z := range l.inv.Zones {
		list := l.candidates(z.Name, l.vms)
		if old, ok := prev.zoneVMs[z.Name]; ok && slices.Equal(old, list) {
			list = old
		} else {
			changed[z.Name] = true
		}
		l.zoneVMs[z.Name] = list
	}
	return changed
}

// sameSlice reports whether a and b share their elements. An inventory gets a
// new slice for each kind of item that has changed.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// accepting returns the VMs that are not leaving.
func accepting(vms []member.Address) []member.Address {
	leaving := func(vm member.Address) bool { return vm.Leaving }
	if !slices.ContainsFunc(vms, leaving) {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), leaving)
}

// candidates returns the zone's own VMs followed by some of the nearest other
// zones.
func (l *Lookups) candidates(zone string, vms map[string][]member.Address) []member.Address {
	list := slices.Clone(vms[zone])
	others := 0
	for _, other := range l.nearestZones(zone) {
		near := vms[other]
		if others == otherZones || len(near) == 0 {
			continue
		}
		list = append(list, near[:min(vmsPerOtherZone, len(near))]...)
		others++
	}
	return list
}

// nearestZones returns the other zones sorted by the round trip of their links,
// shortest first. Zones without a link come last.
func (l *Lookups) nearestZones(zone string) []string {
	var names []string
	for _, z := range l.inv.Zones {
		if z.Name != zone {
			names = append(names, z.Name)
		}
	}
	rtt := func(name string) int64 {
		if link := l.inv.Link(zone, name); link != nil {
			return int64(link.RoundTrip)
		}
		return int64(1) << 62
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rtt(a), rtt(b)) })
	return names
}

// removePlaces removes the blocks of places that were removed or changed.
func (l *Lookups) removePlaces(prev *Lookups) {
	for _, old := range prev.inv.Places {
		if current := l.inv.Place(old.Name); current == old {
			continue
		}
		for _, b := range old.Blocks {
			l.blocks = l.blocks.DeletePersist(b)
		}
	}
}

func (l *Lookups) addPlace(prev *Lookups, p *inventory.Place, zoneChanged bool) {
	if old := prev.places[p.Name]; old != nil && old.place == p && !zoneChanged {
		l.places[p.Name] = old
		return
	}
	e := &placeEntry{place: p, answer: Answer{Place: p.Name, Zone: p.Zone, VMs: rankForPlace(p.Name, l.zoneVMs[p.Zone], p.Zone)}}
	l.places[p.Name] = e
	for _, b := range p.Blocks {
		l.blocks = l.blocks.InsertPersist(b, e)
	}
}

// rankForPlace returns the VMs for one place, ranked so that places are
// distributed evenly over a zone's VMs and each place keeps the same ones.
func rankForPlace(place string, vms []member.Address, zone string) []member.Address {
	byName := make(map[string]member.Address, len(vms))
	var own []string
	var rest []member.Address
	for _, vm := range vms {
		if vm.Zone == zone {
			own = append(own, vm.Name)
			byName[vm.Name] = vm
		} else {
			rest = append(rest, vm)
		}
	}
	ranked := dispatch.Rank("lookup/"+place, own)
	list := make([]member.Address, 0, ownZoneVMs+len(rest))
	for _, name := range ranked[:min(ownZoneVMs, len(ranked))] {
		list = append(list, byName[name])
	}
	return append(list, rest...)
}

// Lookup returns the answer for a caller's address.
func (l *Lookups) Lookup(addr netip.Addr) *Answer {
	if e, ok := l.blocks.Lookup(addr.Unmap()); ok {
		return &e.answer
	}
	return l.fallback
}

// Place returns the answer for the named place, or nil.
func (l *Lookups) Place(name string) *Answer {
	if e := l.places[name]; e != nil {
		return &e.answer
	}
	return nil
}
