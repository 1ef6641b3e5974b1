package target_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"auburnlatch/core/target"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func reg(id string, change func(*target.Registration)) target.Registration {
	r := target.Registration{ID: id, Service: "s", Addr: "10.0.0.1:1", Zone: "z", Slots: 4, ReadAt: start}
	if change != nil {
		change(&r)
	}
	return r
}

func registry() *target.Registry {
	return &target.Registry{Heartbeat: 1500 * time.Millisecond, Regions: map[string]string{"z": "r"}}
}

func TestUpdate(t *testing.T) {
	evacuated := target.Evacuations{Zones: map[string]bool{"z": true}}
	removed := func(afterGap bool) func(*target.Registration) {
		return func(r *target.Registration) { r.Removed, r.RemovedAt, r.AfterGap = true, start, afterGap }
	}
	for _, tc := range []struct {
		name   string
		reg    target.Registration
		ev     target.Evacuations
		at     time.Duration
		there  bool
		usable bool
	}{
		{"ready", reg("a", nil), target.Evacuations{}, 0, true, true},
		{"draining", reg("a", func(r *target.Registration) { r.Draining = true }), target.Evacuations{}, 0, true, false},
		{"evacuated", reg("a", nil), evacuated, 0, true, false},
		{"removed while the platform answers", reg("a", removed(false)), target.Evacuations{}, 0, false, false},
		{"lapsed during an outage", reg("a", removed(true)), target.Evacuations{}, time.Second, true, true},
		{"lapsed and not back", reg("a", removed(true)), target.Evacuations{}, 2 * time.Second, false, false},
	} {
		r := registry()
		c, _ := r.Update(start, []target.Registration{tc.reg}, tc.ev)
		list := c.Set
		if tc.at > 0 {
			if c, _ = r.Update(start.Add(tc.at), nil, tc.ev); len(c.Gone) > 0 {
				list = nil
			}
		}
		if got := len(list) == 1; got != tc.there {
			t.Errorf("%s: there = %v, want %v", tc.name, got, tc.there)
			continue
		}
		if tc.there && list[0].Usable != tc.usable {
			t.Errorf("%s: usable = %v, want %v", tc.name, list[0].Usable, tc.usable)
		}
	}
}

// A zone is evacuated and taken back. Its upstreams were restarted meanwhile and
// are cold, but their registrations say so only with the next heartbeat. Were
// they sent their whole share at once, they would crash.
func TestZoneTakenBackIsCold(t *testing.T) {
	r := registry()
	list := []target.Registration{reg("a", nil)}
	r.Update(start, list, target.Evacuations{Zones: map[string]bool{"z": true}})
	back := start.Add(time.Second)
	c, _ := r.Update(back, nil, target.Evacuations{})
	targets := c.Set
	if !targets[0].Usable || !targets[0].Cold(back) {
		t.Errorf("usable %v, cold %v right after, want both", targets[0].Usable, targets[0].Cold(back))
	}
	if later := back.Add(4 * time.Second); targets[0].Cold(later) {
		t.Error("still cold after two heartbeats")
	}
}

func TestColdAsRegistered(t *testing.T) {
	c, _ := registry().Update(start, []target.Registration{reg("a", func(r *target.Registration) { r.ColdLeft = 3 * time.Second })}, target.Evacuations{})
	targets := c.Set
	if !targets[0].Cold(start.Add(2*time.Second)) || targets[0].Cold(start.Add(4*time.Second)) {
		t.Error("cold for another time than registered")
	}
}

// Guards against targets that are named without a change, or that come back after they left.
func TestUpdateNamesWhatChanged(t *testing.T) {
	r := registry()
	at := func(id, addr string, change func(*target.Registration)) target.Registration {
		return reg(id, func(r *target.Registration) {
			if r.Addr = addr; change != nil {
				change(r)
			}
		})
	}
	none := target.Evacuations{}
	ids := func(list []*target.Target) string {
		var names []string
		for _, t := range list {
			names = append(names, t.Incarnation())
		}
		slices.Sort(names)
		return strings.Join(names, " ")
	}
	for _, step := range []struct {
		name                   string
		changed                []target.Registration
		ev                     target.Evacuations
		set, added, gone, same string
	}{
		{"two register", []target.Registration{at("a", "1", nil), at("b", "2", nil)}, none, "a b", "a b", "", ""},
		{"nothing", nil, none, "", "", "", ""},
		{"one drains", []target.Registration{at("a", "1", func(r *target.Registration) { r.Draining = true })}, none, "a", "", "", ""},
		{"one starts again", []target.Registration{at("b", "2", func(r *target.Registration) { r.Born = 7 })}, none, "b@7", "b@7", "b", ""},
		{"one at the address of another", []target.Registration{at("c", "1", nil)}, none, "c", "c", "", "a"},
		{"the zone is emptied", nil, target.Evacuations{Zones: map[string]bool{"z": true}}, "a b@7 c", "", "", ""},
		{"and taken back", nil, none, "a b@7 c", "", "", ""},
		{"one leaves as the zone is emptied", []target.Registration{at("b", "2", func(r *target.Registration) { r.Born, r.Removed = 7, true })}, target.Evacuations{Zones: map[string]bool{"z": true}}, "a c", "", "b@7", ""},
		{"the other drains as it is taken back", []target.Registration{at("a", "1", func(r *target.Registration) { r.Draining = true })}, none, "a c", "", "", ""},
		{"one leaves", []target.Registration{at("c", "1", func(r *target.Registration) { r.Removed = true })}, none, "", "", "c", ""},
		{"one at a place that is not there", []target.Registration{at("d", "3", func(r *target.Registration) { r.Zone = "nowhere" })}, none, "", "", "", ""},
	} {
		c, _ := r.Update(start, step.changed, step.ev)
		if ids(c.Set) != step.set || ids(c.Added) != step.added || ids(c.Gone) != step.gone || ids(r.AtAddresses(c.Added)) != step.same {
			t.Errorf("%s: set %q, added %q, gone %q, at the same address %q; want %q, %q, %q, %q", step.name,
				ids(c.Set), ids(c.Added), ids(c.Gone), ids(r.AtAddresses(c.Added)), step.set, step.added, step.gone, step.same)
		}
	}
	if r.Len() != 1 {
		t.Errorf("%d targets are left, want 1", r.Len())
	}
}
