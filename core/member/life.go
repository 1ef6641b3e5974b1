package member

import (
	"slices"
	"time"
)

// Mates returns all VMs of the zone but self, sorted by name.
func (t *Table) Mates(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.vms) == 0 {
		return nil
	}
	list := make([]Status, 0, len(t.vms))
	for _, r := range t.vms {
		if r.VM.Name != t.self {
			list = append(list, Status{VM: r.VM, State: t.state(now, r), Stamp: r.Stamp, Heard: r.heard})
		}
	}
	return list
}

// Mate returns one VM of the zone.
func (t *Table) Mate(now time.Time, name string) (Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.entries[vmKey(name)]
	if r == nil || name == t.self {
		return Status{}, false
	}
	return Status{VM: r.VM, State: t.state(now, r), Stamp: r.Stamp, Heard: r.heard}, true
}

// takenAway reports whether a silent VM is gone by the platform's word, as read
// by this VM or by another. It is permanent for an incarnation.
func (t *Table) takenAway(now time.Time, r *record) bool {
	if now.Sub(r.heard) <= t.failAfter {
		return false
	}
	if t.accused(r) {
		return true
	}
	if _, has := t.listHas[r.VM.Name]; has {
		return false
	}
	sinceHeard := t.listAt.Sub(r.heard)
	return sinceHeard > MaxListLag || t.listed[r.VM.Name] && sinceHeard > t.failAfter
}

// accused reports whether a VM tells that a silent one was taken away. Few ever do: looking
// through all for each that is silent takes their number squared, a millisecond with half
// of 300 lost, each time that anybody asks who is there.
func (t *Table) accused(r *record) bool {
	if t.accusers == 0 {
		return false
	}
	return slices.ContainsFunc(t.vms, func(other *record) bool { return other.VM.Gone[r.VM.Name] == r.Stamp.Incarnation })
}

// state judges a VM. A silent one counts as Gone only on the platform's word:
// that it was on the list once and, on a list read since it was last heard, is
// no more; or that it is still not on the list MaxListLag after it was last
// heard, as with a VM that died before it was ever listed. Silence alone proves
// nothing, since a VM that is paused or cut off from its mates may still have
// requests running.
func (t *Table) state(now time.Time, r *record) State {
	if r.VM.Leaving && len(r.VM.Held) == 0 || t.takenAway(now, r) {
		return Gone
	}
	silent := now.Sub(r.heard) > t.failAfter
	switch {
	case silent:
		return Silent
	case r.VM.Leaving:
		return Leaving
	default:
		return Live
	}
}

// purge drops what is of no use any more: VMs that have been gone for long, and
// summaries of a zone whose publisher was followed by another.
func (t *Table) purge(now time.Time) {
	newest := make(map[string]time.Time)
	for _, r := range t.entries {
		if kind := r.kind(); kind != "" && r.heard.After(newest[kind]) {
			newest[kind] = r.heard
		}
	}
	for key, r := range t.entries {
		if t.outlived(now, key, r, newest) {
			t.drop(key)
		}
	}
}

// outlived reports whether a record is of no use any more. newest is when each summary's
// latest was heard.
func (t *Table) outlived(now time.Time, key Key, r *record, newest map[string]time.Time) bool {
	switch {
	case r.Report != nil:
		return t.isStale(now.Sub(r.heard))
	case now.Sub(r.heard) <= MaxListLag || key == vmKey(t.self):
		return false
	case r.VM != nil:
		return t.state(now, r) == Gone
	case r.Usage != nil:
		return t.entries[vmKey(r.Usage.VM)] == nil
	}
	return newest[r.kind()].After(r.heard)
}

// kind names what a summary is about, "" for a VM's own entries.
func (r *record) kind() string {
	switch {
	case r.Roster != nil:
		return "roster/" + r.Roster.Zone
	case r.Load != nil:
		return "load/" + r.Load.Zone
	default:
		return ""
	}
}

// Live returns the names of the zone's live VMs, self included unless it is
// leaving, sorted.
func (t *Table) Live(now time.Time) []string {
	return t.names(now, func(vm *VM) bool { return true }, true)
}

// Dispatching returns the names of the zone's live VMs that may be given slots,
// sorted; self says whether this VM is one. A VM that has just started is none
// until it knows its zone: were it given a share before, the others would give
// up slots that it does not take yet.
func (t *Table) Dispatching(now time.Time, self bool) []string {
	return t.names(now, func(vm *VM) bool { return vm.Dispatches }, self)
}

func (t *Table) names(now time.Time, has func(*VM) bool, self bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.vms)+1)
	for _, r := range t.vms {
		if r.VM.Name != t.self && t.state(now, r) == Live && has(r.VM) {
			names = append(names, r.VM.Name)
		}
	}
	own := t.entries[vmKey(t.self)]
	if self && (own == nil || !own.VM.Leaving) {
		i, _ := slices.BinarySearch(names, t.self)
		names = slices.Insert(names, i, t.self)
	}
	return names
}
