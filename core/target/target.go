// Package target keeps which upstreams there are: their incarnations, and which
// of them may be sent requests now.
//
// An upstream registers itself anew with each start. An incarnation is its ID and
// the time of its start: it may start again under the ID that it had, and knows
// nothing of before then. An address says nothing about who is behind it. What is registered is
// read from a copy of the platform's table and can lag or lapse.
//
// # Usage
//
//	var reg target.Registry
//	change, soon := reg.Update(now, changed, evacuations)
//	for _, t := range change.Set { ... t.Usable ... }
package target

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Registration is what an upstream says of itself.
type Registration struct {
	ID string
	// Born is the time of its start in Unix milliseconds; 0: it says none, and its
	// ID is its alone.
	Born    int64
	Service string
	// Addr is IP:port.
	Addr string
	Zone string
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// ColdLeft is how much longer it stays cold, as of ReadAt.
	ColdLeft time.Duration
	ReadAt   time.Time
	// Removed registrations have been taken off the table at RemovedAt.
	Removed   bool
	RemovedAt time.Time
	// AfterGap says that the removal may be due to the platform's outage.
	AfterGap bool
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
	// Draining says that the target wants nothing new by its own word.
	Draining bool
	// Usable targets may be sent new requests.
	Usable bool
	// ColdUntil is when the target is no longer cold.
	ColdUntil time.Time
}

// Incarnation names this start of the upstream. What is known of another one, its
// connections included, says nothing about it.
func (t *Target) Incarnation() string {
	if t.Born == 0 {
		return t.ID
	}
	return t.ID + "@" + strconv.FormatInt(t.Born, 10)
}

// Cold reports whether the target bears only few requests.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// LapseGrace is how long an upstream whose registration lapsed during an outage
// of the platform goes on being used: those alive register again within about
// two seconds. It stays below the time by which a leaving upstream must get
// nothing new.
const LapseGrace = 1800 * time.Millisecond

// Evacuations tells which availability zones are to get nothing.
type Evacuations struct {
	Zones map[string]bool
}

// Registry turns registrations into targets. The zero value is ready. It is
// not safe for concurrent use.
type Registry struct {
	// Heartbeat is the interval at which upstreams renew their registration.
	Heartbeat time.Duration
	// Regions is the region of each availability zone.
	Regions map[string]string

	targets   map[string]*Target // By ID.
	lapsed    map[string]Registration
	evacuated map[string]bool
	coldUntil map[string]time.Time // By zone, after an evacuation.
	names     map[string]string    // One copy of each service's and zone's name.
}

// Change is what an Update has changed.
type Change struct {
	// Set are the targets that are new or have changed, Added those of them whose
	// incarnation was not there before.
	Set, Added []*Target
	// Gone are incarnations that are not there any more.
	Gone []*Target
}

// Len returns how many targets there are.
func (r *Registry) Len() int { return len(r.targets) }

// AtAddresses returns the targets that have the address of one of a list, which are left out.
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

// Update takes in the registrations that have changed since the last call, and reports
// whether a target will change by time alone, so that Update has to be called again soon.
func (r *Registry) Update(now time.Time, changed []Registration, ev Evacuations) (c Change, soon bool) {
	if r.targets == nil {
		r.targets, r.lapsed, r.names = make(map[string]*Target), make(map[string]Registration), make(map[string]string)
	}
	r.takeEvacuations(now, ev, &c)
	for i := range changed {
		delete(r.lapsed, changed[i].ID)
		r.take(now, &changed[i], ev, &c)
	}
	for id, reg := range r.lapsed {
		if now.Sub(reg.RemovedAt) >= LapseGrace {
			delete(r.lapsed, id)
			r.drop(id, &c)
		}
	}
	// One whose zone was emptied or taken back may have changed, or gone, as well.
	c.Set = slices.DeleteFunc(c.Set, func(t *Target) bool { return r.targets[t.ID] != t })
	return c, len(r.lapsed) > 0
}

// take takes in one registration.
func (r *Registry) take(now time.Time, reg *Registration, ev Evacuations, c *Change) {
	lapsed := reg.Removed && reg.AfterGap && now.Sub(reg.RemovedAt) < LapseGrace
	region := r.Regions[reg.Zone]
	if reg.Removed && !lapsed || region == "" {
		r.drop(reg.ID, c) // Gone, or at a place that is not there.
		return
	}
	if lapsed {
		r.lapsed[reg.ID] = *reg
	}
	cold := reg.ReadAt.Add(reg.ColdLeft)
	if until := r.coldUntil[reg.Zone]; until.After(cold) {
		cold = until
	}
	t := &Target{
		ID: reg.ID, Born: reg.Born, Service: r.name(reg.Service), Addr: reg.Addr, Zone: r.name(reg.Zone), Region: region, Slots: max(1, reg.Slots),
		Draining: reg.Draining, Usable: !reg.Draining && !ev.Zones[reg.Zone], ColdUntil: cold,
	}
	old := r.targets[reg.ID]
	if old != nil && old.Born != t.Born {
		c.Gone = append(c.Gone, old)
	}
	if old == nil || old.Born != t.Born {
		c.Added = append(c.Added, t)
	}
	r.targets[reg.ID] = t
	c.Set = append(c.Set, t)
}

func (r *Registry) drop(id string, c *Change) {
	if old := r.targets[id]; old != nil {
		delete(r.targets, id)
		c.Gone = append(c.Gone, old)
	}
}

// name returns the one copy of a name that is kept.
func (r *Registry) name(s string) string {
	if kept, ok := r.names[s]; ok {
		return kept
	}
	r.names[s] = s
	return s
}

// takeEvacuations renews the targets of zones that are emptied or taken back. Upstreams of
// those taken back may have turned cold meanwhile, and say so only with their next heartbeat;
// without the hold they would be sent their whole share and crash.
func (r *Registry) takeEvacuations(now time.Time, ev Evacuations, c *Change) {
	if r.coldUntil == nil {
		r.coldUntil = make(map[string]time.Time)
	}
	turned := make(map[string]bool)
	for zone := range r.evacuated {
		if !ev.Zones[zone] {
			turned[zone] = true
			r.coldUntil[zone] = now.Add(r.Heartbeat + coldMargin)
		}
	}
	for zone := range ev.Zones {
		if !r.evacuated[zone] {
			turned[zone] = true
		}
	}
	if len(turned) == 0 {
		return
	}
	r.evacuated = maps.Clone(ev.Zones)
	for id, old := range r.targets {
		if !turned[old.Zone] {
			continue
		}
		t := *old
		t.Usable = !t.Draining && !ev.Zones[t.Zone]
		if until := r.coldUntil[t.Zone]; until.After(t.ColdUntil) {
			t.ColdUntil = until
		}
		r.targets[id] = &t
		c.Set = append(c.Set, &t)
	}
}

// coldMargin is added to the heartbeat interval for the time a registration
// takes to be read: one interval between polls and a slow answer.
const coldMargin = 1500 * time.Millisecond
