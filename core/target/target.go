// Package target maintains the set of registered upstreams: their incarnations, and
// which of them may be sent requests now.
//
// An upstream registers itself with each start. An incarnation is its ID and the time
// of its start: an upstream may restart under the same ID, without any state from
// before. An address does not identify an upstream. Registrations are read from a
// copy of the platform's table, so they can lag and can lapse.
//
// # Usage
//
//	var reg target.Registry
//	change, soon := reg.Update(now, changed, evacuations)
//	for _, t := range change.Updated { ... t.Usable ... }
package target

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Registration is an upstream's registration in the platform's table.
type Registration struct {
	ID string
	// Born is the time of its start in Unix milliseconds; 0: not given, and each
	// start has an ID of its own.
	Born    int64
	Service string
	// Addr is IP:port.
	Addr string
	Zone string
	// Slots is the number of requests that it runs concurrently.
	Slots    int
	Draining bool
	// ColdLeft is how much longer it is cold, as of ReadAt.
	ColdLeft time.Duration
	ReadAt   time.Time
	// Removed is set if the registration was removed from the table, at RemovedAt.
	Removed   bool
	RemovedAt time.Time
	// AfterGap is set if the removal may be due to an outage of the platform.
	AfterGap bool
	// RestoredAt is when this state replaced another one, which may be newer, because the
	// platform's store was restored from an older copy; zero otherwise.
	RestoredAt time.Time
}

// Target is one incarnation of an upstream.
type Target struct {
	ID      string
	Born    int64 // As in Registration.
	Service string
	Addr    string
	Zone    string
	Region  string
	Slots   int
	// Draining is set if the target has registered that it takes no new requests.
	Draining bool
	// Usable is set if the target may be sent new requests.
	Usable bool
	// ColdUntil is the time from which the target is no longer cold.
	ColdUntil time.Time
	// ReadAt is when this VM received the registration. It may have been written long before.
	ReadAt time.Time
}

// Incarnation returns a name for this run of the upstream. State of another
// incarnation, including connections, does not apply to it. No other target has the name.
func (t *Target) Incarnation() string {
	if t.Born == 0 && !strings.Contains(t.ID, "@") {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.Born, 10)
}

// Cold reports whether the target can handle few requests only, as after its start.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// LapseGrace is how long an upstream whose registration lapsed during an outage
// of the platform is still used: running upstreams register again within about
// two seconds. It is shorter than the time within which a leaving upstream must
// stop getting new requests.
const LapseGrace = 1800 * time.Millisecond

// lapseHeartbeats is the number of heartbeats after which a silent upstream's registration
// lapses. Until then a registration that a restored store has again may be that of an
// upstream that has ended.
const lapseHeartbeats = 3

// Evacuations is the set of availability zones that must get no new requests.
type Evacuations struct {
	Zones map[string]bool
}

// Registry derives targets from registrations. The zero value is ready to use.
// It is not safe for concurrent use.
//
// Draining is final for an incarnation: a registration without it is older.
type Registry struct {
	// Heartbeat is the interval at which upstreams renew their registration.
	Heartbeat time.Duration
	// Regions has the region of each availability zone.
	Regions map[string]string

	targets   map[string]*Target // By ID.
	lapsed    map[string]Registration
	restored  map[string]Registration // Not applied yet; see restoreGrace.
	evacuated map[string]bool
	coldUntil map[string]time.Time // By zone, after its evacuation ended.
	names     map[string]string    // Interned names of services and zones.
}

// Change is the difference that an Update made to the targets.
type Change struct {
	// Updated are the targets that are new or have changed, Added those of them with a new
	// incarnation.
	Updated, Added []*Target
	// Gone are the incarnations that were removed.
	Gone []*Target
}

// Len returns the number of targets.
func (r *Registry) Len() int { return len(r.targets) }

// AtAddresses returns the targets, other than those in list, that have the same address
// as one of them.
func (r *Registry) AtAddresses(list []*Target) []*Target {
	if len(list) == 0 {
		return nil
	}
	addrs := make(map[string]bool, len(list))
	for _, t := range list {
		addrs[t.Addr] = true
	}
	var others []*Target
	for _, t := range r.targets {
		if addrs[t.Addr] && !slices.Contains(list, t) {
			others = append(others, t)
		}
	}
	return others
}

// Update applies the registrations that have changed since the last call. soon reports
// whether a registration that lapsed or was restored changes its meaning with time alone, so that
// Update has to be called again soon.
func (r *Registry) Update(now time.Time, changed []Registration, ev Evacuations) (c Change, soon bool) {
	if r.targets == nil {
		r.targets, r.names = make(map[string]*Target), make(map[string]string)
		r.lapsed, r.restored = make(map[string]Registration), make(map[string]Registration)
	}
	r.applyEvacuations(now, ev, &c)
	for i := range changed {
		delete(r.lapsed, changed[i].ID)
		delete(r.restored, changed[i].ID)
		r.apply(now, &changed[i], ev, &c)
	}
	for id, reg := range r.restored {
		if now.Sub(reg.RestoredAt) >= r.restoreGrace() {
			delete(r.restored, id)
			r.apply(now, &reg, ev, &c)
		}
	}
	for id, reg := range r.lapsed {
		if now.Sub(reg.RemovedAt) >= LapseGrace {
			delete(r.lapsed, id)
			r.remove(id, &c)
		}
	}
	// Drop targets of evacuated zones that a registration then changed or removed.
	c.Updated = slices.DeleteFunc(c.Updated, func(t *Target) bool { return r.targets[t.ID] != t })
	return c, len(r.lapsed)+len(r.restored) > 0
}

// restoreGrace is how long a restored registration of an incarnation that was removed or
// replaced is not applied unless it is written again.
func (r *Registry) restoreGrace() time.Duration { return lapseHeartbeats*r.Heartbeat + readMargin }

// apply updates the target of one registration.
func (r *Registry) apply(now time.Time, reg *Registration, ev Evacuations, c *Change) {
	lapsed := reg.Removed && reg.AfterGap && now.Sub(reg.RemovedAt) < LapseGrace
	region := r.Regions[reg.Zone]
	if reg.Removed && !lapsed || region == "" {
		r.remove(reg.ID, c) // Removed, or in an unknown zone.
		return
	}
	if lapsed {
		r.lapsed[reg.ID] = *reg
	}
	old := r.targets[reg.ID]
	if (old == nil || old.Born != reg.Born) && now.Sub(reg.RestoredAt) < r.restoreGrace() {
		r.restored[reg.ID] = *reg
		return
	}
	draining := reg.Draining || old != nil && old.Born == reg.Born && old.Draining
	cold := later(reg.ReadAt.Add(reg.ColdLeft), r.coldUntil[reg.Zone])
	if old != nil && reg.Born < old.Born {
		// It may be a late write of a process that has ended. The next heartbeat tells.
		cold = later(cold, now.Add(r.Heartbeat+readMargin))
	}
	t := &Target{
		ID: reg.ID, Born: reg.Born, Service: r.name(reg.Service), Addr: reg.Addr, Zone: r.name(reg.Zone), Region: region, Slots: max(1, reg.Slots),
		Draining: draining, Usable: !draining && !ev.Zones[reg.Zone], ColdUntil: cold, ReadAt: reg.ReadAt,
	}
	if old != nil && old.Born != t.Born {
		c.Gone = append(c.Gone, old)
	}
	if old == nil || old.Born != t.Born {
		c.Added = append(c.Added, t)
	}
	r.targets[reg.ID] = t
	c.Updated = append(c.Updated, t)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Registry) remove(id string, c *Change) {
	if old := r.targets[id]; old != nil {
		delete(r.targets, id)
		c.Gone = append(c.Gone, old)
	}
}

// name returns the interned copy of a name.
func (r *Registry) name(s string) string {
	if interned, ok := r.names[s]; ok {
		return interned
	}
	r.names[s] = s
	return s
}

// applyEvacuations updates the targets of zones whose evacuation begins or ends. Upstreams
// may have restarted during the evacuation, and register as cold only with their next
// heartbeat. Until then all targets of the zone count as cold, as otherwise they would be
// sent their whole share at once and crash.
func (r *Registry) applyEvacuations(now time.Time, ev Evacuations, c *Change) {
	if r.coldUntil == nil {
		r.coldUntil = make(map[string]time.Time)
	}
	affected := make(map[string]bool)
	for zone := range r.evacuated {
		if !ev.Zones[zone] {
			affected[zone] = true
			r.coldUntil[zone] = now.Add(r.Heartbeat + readMargin)
		}
	}
	for zone := range ev.Zones {
		if !r.evacuated[zone] {
			affected[zone] = true
		}
	}
	if len(affected) == 0 {
		return
	}
	r.evacuated = maps.Clone(ev.Zones)
	for id, old := range r.targets {
		if !affected[old.Zone] {
			continue
		}
		t := *old
		t.Usable = !t.Draining && !ev.Zones[t.Zone]
		if until := r.coldUntil[t.Zone]; until.After(t.ColdUntil) {
			t.ColdUntil = until
		}
		r.targets[id] = &t
		c.Updated = append(c.Updated, &t)
	}
}

// readMargin is added to heartbeat intervals for the time until a registration
// is read: one poll interval and a slow response.
const readMargin = 1500 * time.Millisecond
