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
//	list := reg.Update(now, registrations, evacuations)
//	for _, t := range list { ... t.Usable ... }
package target

import (
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

	evacuated map[string]bool
	coldUntil map[string]time.Time // By zone, after an evacuation.
}

// Update returns all targets that are there now, and whether one of them will
// change by time alone, so that Update has to be called again soon.
func (r *Registry) Update(now time.Time, list []Registration, ev Evacuations) (targets []*Target, soon bool) {
	r.takeEvacuations(now, ev)
	targets = make([]*Target, 0, len(list))
	for i := range list {
		reg := &list[i]
		lapsed := reg.Removed && reg.AfterGap && now.Sub(reg.RemovedAt) < LapseGrace
		region := r.Regions[reg.Zone]
		if reg.Removed && !lapsed || region == "" {
			continue // Gone, or at a place that is not there.
		}
		soon = soon || lapsed
		cold := reg.ReadAt.Add(reg.ColdLeft)
		if until := r.coldUntil[reg.Zone]; until.After(cold) {
			cold = until
		}
		targets = append(targets, &Target{
			ID: reg.ID, Born: reg.Born, Service: reg.Service, Addr: reg.Addr, Zone: reg.Zone, Region: region, Slots: max(1, reg.Slots),
			Usable: !reg.Draining && !ev.Zones[reg.Zone], ColdUntil: cold,
		})
	}
	return targets, soon
}

// takeEvacuations notes which zones have just been taken back. Their upstreams
// may have turned cold meanwhile, and say so only with their next heartbeat;
// without the hold they would be sent their whole share and crash.
func (r *Registry) takeEvacuations(now time.Time, ev Evacuations) {
	if r.coldUntil == nil {
		r.coldUntil = make(map[string]time.Time)
	}
	for zone := range r.evacuated {
		if !ev.Zones[zone] {
			r.coldUntil[zone] = now.Add(r.Heartbeat + coldMargin)
		}
	}
	r.evacuated = make(map[string]bool, len(ev.Zones))
	for zone := range ev.Zones {
		r.evacuated[zone] = true
	}
}

// coldMargin is added to the heartbeat interval for the time a registration
// takes to be read: one interval between polls and a slow answer.
const coldMargin = 1500 * time.Millisecond
