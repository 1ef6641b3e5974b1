// Package inventory defines the inventory that operators maintain: regions,
// availability zones, services, targets, places, links and drains. It validates
// them and applies changes.
//
// # Usage
//
// An Inventory is immutable. A Change is based on one version and leads to the
// next. Apply validates the whole result and returns every fault:
//
//	next, err := inv.Apply(change)
//
// The items of each kind are sorted by name. A change copies the slices of
// pointers of the kinds that it changes and shares everything else with the
// previous version. With 130,000 address blocks a change takes well under a
// millisecond.
package inventory

import (
	"net/netip"
	"time"
)

// Region is a group of availability zones that are near each other.
type Region struct {
	Name string
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
}

// Service is a service that callers request and targets provide.
type Service struct {
	Name string
	// MaxShiftPerMinute is the largest share of the service's traffic, 0 to 1,
	// that may move between availability zones within any minute.
	MaxShiftPerMinute float64
	// MaxFailoverPerMinute replaces MaxShiftPerMinute for traffic that leaves a
	// zone without capacity. 0: MaxShiftPerMinute applies.
	MaxFailoverPerMinute float64
	// HeadroomFloor is the share of a zone's slots to keep free, 0 to 1.
	HeadroomFloor float64
	// Timeout is the default time limit of a request.
	Timeout time.Duration
	// MaxQueueWait is the longest time that a request waits for a slot.
	MaxQueueWait time.Duration
	// IdempotentMethods are the HTTP methods whose requests may be retried even
	// if they may have run (verdict.MaybeRan).
	IdempotentMethods []string
	// ShedStatuses are the HTTP statuses by which an upstream reports that it
	// did not run the request.
	ShedStatuses []int
	// RetryBudget is the number of retries allowed, as a share of the requests.
	RetryBudget float64
	// KeyOptional reports that non-idempotent requests are accepted without an
	// Idempotency-Key header.
	KeyOptional bool
}

// Target is one upstream.
type Target struct {
	Name    string
	Service string
	Zone    string
	// Addr is the address in the form IP:port.
	Addr string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// MaxConnections is the number of connections that the target accepts from
	// all VMs together.
	MaxConnections int
}

// Place is a location of callers, identified by their address blocks.
type Place struct {
	Name string
	// Zone is the availability zone nearest to the place.
	Zone   string
	Blocks []netip.Prefix
}

// Link is the network path from one availability zone to another.
type Link struct {
	From, To  string
	RoundTrip time.Duration
	// MaxConcurrent is the largest number of concurrent requests; 0: no limit.
	MaxConcurrent int
}

// Kind is a kind of item.
type Kind string

// The kinds of items in an inventory.
const (
	KindRegion  Kind = "Region"
	KindZone    Kind = "Zone"
	KindService Kind = "Service"
	KindTarget  Kind = "Target"
	KindPlace   Kind = "Place"
	KindLink    Kind = "Link"
	KindDrain   Kind = "Drain"
)

// Drain takes a target, an availability zone or a region out of use.
type Drain struct {
	// Kind is KindTarget, KindZone or KindRegion.
	Kind Kind
	Name string
}

// key returns the link's name in a Remove and in the sorted slice.
func (l *Link) key() string { return l.From + ">" + l.To }

// key returns the drain's name in a Remove and in the sorted slice.
func (d *Drain) key() string { return string(d.Kind) + "/" + d.Name }

// Inventory is one version of the inventory. The zero value is version 0, which
// is empty. The slices are sorted by name and must not be modified.
type Inventory struct {
	Version  uint64
	Regions  []*Region
	Zones    []*Zone
	Services []*Service
	Targets  []*Target
	Places   []*Place
	Links    []*Link
	Drains   []*Drain
}

// Region returns the named region, or nil.
func (inv *Inventory) Region(name string) *Region { return find(inv.Regions, name, regionKey) }

// Zone returns the named availability zone, or nil.
func (inv *Inventory) Zone(name string) *Zone { return find(inv.Zones, name, zoneKey) }

// Service returns the named service, or nil.
func (inv *Inventory) Service(name string) *Service { return find(inv.Services, name, serviceKey) }

// Target returns the named target, or nil.
func (inv *Inventory) Target(name string) *Target { return find(inv.Targets, name, targetKey) }

// Place returns the named place, or nil.
func (inv *Inventory) Place(name string) *Place { return find(inv.Places, name, placeKey) }

// Link returns the link from one zone to another, or nil.
func (inv *Inventory) Link(from, to string) *Link {
	return find(inv.Links, from+">"+to, (*Link).key)
}

// Drained reports whether the target, its zone or its region is drained.
func (inv *Inventory) Drained(t *Target) bool {
	return inv.drain(KindTarget, t.Name) || inv.ZoneDrained(t.Zone)
}

// TargetDrained reports whether the target itself is drained. A target in a
// drained zone is still used while traffic moves away from the zone at the
// capped rate.
func (inv *Inventory) TargetDrained(t *Target) bool { return inv.drain(KindTarget, t.Name) }

// ZoneDrained reports whether the zone or its region is drained.
func (inv *Inventory) ZoneDrained(zone string) bool {
	if inv.drain(KindZone, zone) {
		return true
	}
	z := inv.Zone(zone)
	return z != nil && inv.drain(KindRegion, z.Region)
}

func (inv *Inventory) drain(kind Kind, name string) bool {
	if len(inv.Drains) == 0 {
		return false
	}
	return find(inv.Drains, string(kind)+"/"+name, (*Drain).key) != nil
}

func regionKey(r *Region) string   { return r.Name }
func zoneKey(z *Zone) string       { return z.Name }
func serviceKey(s *Service) string { return s.Name }
func targetKey(t *Target) string   { return t.Name }
func placeKey(p *Place) string     { return p.Name }
