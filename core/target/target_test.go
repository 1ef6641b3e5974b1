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
		exists bool
		usable bool
	}{
		{"ready", reg("a", nil), target.Evacuations{}, 0, true, true},
		{"draining", reg("a", func(r *target.Registration) { r.Draining = true }), target.Evacuations{}, 0, true, false},
		{"evacuated", reg("a", nil), evacuated, 0, true, false},
		{"removed while the platform answers", reg("a", removed(false)), target.Evacuations{}, 0, false, false},
		{"lapsed during an outage", reg("a", removed(true)), target.Evacuations{}, time.Second, true, true},
		{"lapsed, after LapseGrace", reg("a", removed(true)), target.Evacuations{}, 2 * time.Second, false, false},
	} {
		r := registry()
		c, _ := r.Update(start, []target.Registration{tc.reg}, tc.ev)
		list := c.Updated
		if tc.at > 0 {
			if c, _ = r.Update(start.Add(tc.at), nil, tc.ev); len(c.Gone) > 0 {
				list = nil
			}
		}
		if got := len(list) == 1; got != tc.exists {
			t.Errorf("%s: exists = %v, want %v", tc.name, got, tc.exists)
			continue
		}
		if tc.exists && list[0].Usable != tc.usable {
			t.Errorf("%s: usable = %v, want %v", tc.name, list[0].Usable, tc.usable)
		}
	}
}

// A zone is evacuated, and the evacuation ends. Its upstreams restarted meanwhile and
// are cold, but their registrations say so only with the next heartbeat. If they
// were sent their whole share at once, they would crash.
func TestTargetsAreColdAfterEvacuationEnds(t *testing.T) {
	r := registry()
	list := []target.Registration{reg("a", nil)}
	r.Update(start, list, target.Evacuations{Zones: map[string]bool{"z": true}})
	endsAt := start.Add(time.Second)
	c, _ := r.Update(endsAt, nil, target.Evacuations{})
	targets := c.Updated
	if !targets[0].Usable || !targets[0].Cold(endsAt) {
		t.Errorf("usable %v, cold %v when the evacuation ends, want both", targets[0].Usable, targets[0].Cold(endsAt))
	}
	if later := endsAt.Add(4 * time.Second); targets[0].Cold(later) {
		t.Error("still cold 4 s after the evacuation ended")
	}
}

func TestColdAsRegistered(t *testing.T) {
	c, _ := registry().Update(start, []target.Registration{reg("a", func(r *target.Registration) { r.ColdLeft = 3 * time.Second })}, target.Evacuations{})
	targets := c.Updated
	if !targets[0].Cold(start.Add(2*time.Second)) || targets[0].Cold(start.Add(4*time.Second)) {
		t.Error("cold for a time other than the registered 3 s")
	}
}

// Guards against targets in a Change that did not change, and removed targets that reappear.
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
		{"no change", nil, none, "", "", "", ""},
		{"one is drained", []target.Registration{at("a", "1", func(r *target.Registration) { r.Draining = true })}, none, "a", "", "", ""},
		{"one restarts", []target.Registration{at("b", "2", func(r *target.Registration) { r.Born = 7 })}, none, "b@7", "b@7", "b", ""},
		{"a new one has the address of another", []target.Registration{at("c", "1", nil)}, none, "c", "c", "", "a"},
		{"the evacuation begins", nil, target.Evacuations{Zones: map[string]bool{"z": true}}, "a b@7 c", "", "", ""},
		{"the evacuation ends", nil, none, "a b@7 c", "", "", ""},
		{"one is removed as the evacuation begins", []target.Registration{at("b", "2", func(r *target.Registration) { r.Born, r.Removed = 7, true })}, target.Evacuations{Zones: map[string]bool{"z": true}}, "a c", "", "b@7", ""},
		{"one is drained as the evacuation ends", []target.Registration{at("a", "1", func(r *target.Registration) { r.Draining = true })}, none, "a c", "", "", ""},
		{"one is removed", []target.Registration{at("c", "1", func(r *target.Registration) { r.Removed = true })}, none, "", "", "c", ""},
		{"one in an unknown zone", []target.Registration{at("d", "3", func(r *target.Registration) { r.Zone = "nowhere" })}, none, "", "", "", ""},
	} {
		c, _ := r.Update(start, step.changed, step.ev)
		if ids(c.Updated) != step.set || ids(c.Added) != step.added || ids(c.Gone) != step.gone || ids(r.AtAddresses(c.Added)) != step.same {
			t.Errorf("%s: set %q, added %q, gone %q, at the same address %q; want %q, %q, %q, %q", step.name,
				ids(c.Updated), ids(c.Added), ids(c.Gone), ids(r.AtAddresses(c.Added)), step.set, step.added, step.gone, step.same)
		}
	}
	if r.Len() != 1 {
		t.Errorf("%d targets, want 1", r.Len())
	}
}

// The platform's store is restored from an older copy, in which an upstream that leaves is
// ready, one that has ended is registered, and another is registered by an earlier start. They
// must get no requests, unless they register again or are still there when they would have lapsed.
func TestRestoredRegistrations(t *testing.T) {
	restored := func(id string, born int64) target.Registration {
		return reg(id, func(r *target.Registration) { r.Born, r.RestoredAt = born, start })
	}
	for _, tc := range []struct {
		name     string
		before   []target.Registration
		restored target.Registration
		later    []target.Registration // Registered after the restore.
		after    time.Duration
		usable   bool
	}{
		{"left", []target.Registration{reg("a", func(r *target.Registration) { r.Draining = true })}, restored("a", 0), nil, time.Hour, false},
		{"ended", []target.Registration{reg("a", nil), reg("a", func(r *target.Registration) { r.Removed = true })}, restored("a", 0), nil, 5 * time.Second, false},
		{"ended, and registered again", []target.Registration{reg("a", nil), reg("a", func(r *target.Registration) { r.Removed = true })}, restored("a", 0), []target.Registration{reg("a", nil)}, time.Second, true},
		{"there although it would have lapsed", []target.Registration{reg("a", nil), reg("a", func(r *target.Registration) { r.Removed = true })}, restored("a", 0), nil, 6 * time.Second, true},
		{"an earlier start of one that leaves", []target.Registration{reg("a", func(r *target.Registration) { r.Born, r.Draining = 2, true })}, restored("a", 1), nil, 5 * time.Second, false},
		{"with other slots", []target.Registration{reg("a", func(r *target.Registration) { r.Slots = 8 })}, restored("a", 0), nil, 0, true},
	} {
		r := registry()
		usable := make(map[string]bool)
		update := func(after time.Duration, list []target.Registration) {
			c, _ := r.Update(start.Add(after), list, target.Evacuations{})
			for _, gone := range c.Gone {
				delete(usable, gone.ID)
			}
			for _, u := range c.Updated {
				usable[u.ID] = u.Usable
			}
		}
		for _, b := range tc.before {
			update(0, []target.Registration{b})
		}
		update(0, []target.Registration{tc.restored})
		update(tc.after, tc.later)
		if usable["a"] != tc.usable {
			t.Errorf("%s: usable = %v, want %v", tc.name, usable["a"], tc.usable)
		}
	}
}

// Guards against an ID of another writer that passes for an incarnation of another upstream, with
// its connections and what is known of it.
func TestIncarnationsAreDistinct(t *testing.T) {
	names := make(map[string]target.Target)
	for _, id := range []string{"i", "i@", "i@5", "i@0", "i@5@5", "@5"} {
		for _, born := range []int64{0, 5, 55} {
			upstream := target.Target{ID: id, Born: born}
			name := upstream.Incarnation()
			if other, ok := names[name]; ok {
				t.Errorf("%s of start %d and %s of start %d are both %q", id, born, other.ID, other.Born, name)
			}
			names[name] = upstream
		}
	}
}

// Guards against a late write of an upstream's old process that is taken for a newer start.
func TestLateWriteOfEndedProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	r := target.Registry{Heartbeat: 1500 * time.Millisecond, Regions: map[string]string{"z": "r"}}
	reg := target.Registration{ID: "i", Born: 1000, Service: "s", Addr: "a:1", Zone: "z", Slots: 1, ReadAt: now}
	r.Update(now, []target.Registration{reg}, target.Evacuations{})
	newer := reg
	newer.Born, newer.ColdLeft, newer.ReadAt = 2000, 3*time.Second, now.Add(time.Second)
	r.Update(newer.ReadAt, []target.Registration{newer}, target.Evacuations{})
	reg.ReadAt = now.Add(1500 * time.Millisecond)
	c, _ := r.Update(reg.ReadAt, []target.Registration{reg}, target.Evacuations{})
	for _, u := range c.Updated {
		if u.Born < newer.Born && !u.Cold(reg.ReadAt) {
			t.Errorf("the process born at %d, which has been replaced by that of %d, is in use again and warm", u.Born, newer.Born)
		}
	}
}
