package steer

import (
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
)

const (
	// unlinkedRTT is the round trip assumed between zones without a link.
	unlinkedRTT = 500 * time.Millisecond
	// LostAfter is the age of a zone's summary at which the zone counts as
	// lost: it is not known to have any usable slots.
	LostAfter = 30 * time.Second
)

// ProblemFor returns the problem of one service as this VM sees it, from the
// summaries that the zones have reported and the demand in them. Until LostAfter
// after the VM's start, a zone that has reported nothing yet, or whose VMs have
// just started, counts with all of its registered slots. Otherwise, if all zones
// start together, each would treat the others as lost and move its callers away
// and back.
func ProblemFor(inv *inventory.Inventory, paths []Path, s *inventory.Service, views []member.ZoneView, sinceStart time.Duration) Problem {
	p := Problem{HeadroomFloor: s.HeadroomFloor, Paths: paths}
	byZone := make(map[string]member.ZoneView, len(views))
	for _, v := range views {
		byZone[v.Zone] = v
	}
	registered := registeredSlots(inv, s.Name)
	for _, z := range inv.Zones {
		supply := ZoneSupply{Zone: z.Name, Drained: inv.ZoneDrained(z.Name)}
		v := byZone[z.Name]
		switch {
		case sinceStart < LostAfter && (v.Load == nil || v.Load.Settled == 0):
			supply.Slots = registered[z.Name]
		case v.Load != nil && v.LoadAge < LostAfter:
			l := v.Load.Service(s.Name)
			supply.Slots, supply.InUse, supply.Age = float64(l.Slots), float64(l.InUse), v.LoadAge
		}
		p.Supplies = append(p.Supplies, supply)
		p.Demands = append(p.Demands, Demand{Origin: z.Name})
	}
	for i := range p.Demands {
		p.Demands[i].Slots = demandOf(views, s.Name, p.Demands[i].Origin)
	}
	return p
}

// RegisteredProblem returns the problem of one service with all registered
// upstreams up and idle. Every VM computes the same weights from it, so a row
// starts with them if no peer had weights to restore.
func RegisteredProblem(inv *inventory.Inventory, paths []Path, s *inventory.Service) Problem {
	p := Problem{HeadroomFloor: s.HeadroomFloor, Paths: paths}
	registered := registeredSlots(inv, s.Name)
	for _, z := range inv.Zones {
		p.Supplies = append(p.Supplies, ZoneSupply{Zone: z.Name, Slots: registered[z.Name], Drained: inv.ZoneDrained(z.Name)})
		p.Demands = append(p.Demands, Demand{Origin: z.Name})
	}
	return p
}

// registeredSlots returns the slots of a service that are not drained, by zone.
func registeredSlots(inv *inventory.Inventory, service string) map[string]float64 {
	slots := make(map[string]float64, len(inv.Zones))
	for _, t := range inv.Targets {
		if t.Service == service && !inv.Drained(t) {
			slots[t.Zone] += float64(t.Slots)
		}
	}
	return slots
}

// demandOf returns the demand of an origin, summed over the zones' summaries.
func demandOf(views []member.ZoneView, service, origin string) float64 {
	var sum float64
	for _, v := range views {
		if v.Load == nil || v.LoadAge >= LostAfter {
			continue
		}
		for _, d := range v.Load.Demands {
			if d.Service == service && d.Origin == origin {
				sum += d.Slots
			}
		}
	}
	return sum
}

// PathCache caches the sorted paths of an inventory. It sorts them again only if
// zones or links have changed. It is not safe for concurrent use; the zero value
// is empty.
type PathCache struct {
	inv   *inventory.Inventory
	paths []Path
}

// Paths returns the paths between all pairs of zones in the order of SortPaths.
// The caller must not modify them.
func (c *PathCache) Paths(inv *inventory.Inventory) []Path {
	if c.inv != nil && sameSlice(c.inv.Zones, inv.Zones) && sameSlice(c.inv.Links, inv.Links) {
		return c.paths
	}
	c.inv = inv
	c.paths = make([]Path, 0, len(inv.Zones)*len(inv.Zones))
	for _, from := range inv.Zones {
		for _, to := range inv.Zones {
			path := Path{Origin: from.Name, Zone: to.Name, RoundTrip: unlinkedRTT}
			if from == to {
				path.RoundTrip = 0
			} else if link := inv.Link(from.Name, to.Name); link != nil {
				path.RoundTrip, path.MaxConcurrent = link.RoundTrip, float64(link.MaxConcurrent)
			}
			c.paths = append(c.paths, path)
		}
	}
	SortPaths(c.paths)
	return c.paths
}

// Exclude removes the supply of the zones for which excluded returns true.
func (p Problem) Exclude(excluded func(zone string) bool) {
	for i := range p.Supplies {
		if z := &p.Supplies[i]; excluded(z.Zone) {
			z.Slots, z.InUse = 0, 0
		}
	}
}

// Lost returns the zones that have no slots.
func (p Problem) Lost() map[string]bool {
	lost := make(map[string]bool)
	for _, z := range p.Supplies {
		if z.Slots <= 0 {
			lost[z.Zone] = true
		}
	}
	return lost
}
