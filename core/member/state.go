package member

import (
	"slices"
	"time"
)

// Peers returns all VMs of the table but self, sorted by name.
func (t *Table) Peers(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.vms) == 0 {
		return nil
	}
	list := make([]Status, 0, len(t.vms))
	for _, r := range t.vms {
		if r.VM.Name != t.self {
			list = append(list, Status{VM: r.VM, State: t.state(now, r), Stamp: r.Stamp, Heard: r.lastSeen})
		}
	}
	return list
}

// FindPeer returns the VM of the table with the given name, unless that is self.
func (t *Table) FindPeer(now time.Time, name string) (Status, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.entries[vmKey(name)]
	if r == nil || name == t.self {
		return Status{}, false
	}
	return Status{VM: r.VM, State: t.state(now, r), Stamp: r.Stamp, Heard: r.lastSeen}, true
}

// removedByPlatform reports whether a silent VM has been removed according to the
// platform's list, as read by this VM or by a peer. A removal is permanent for an
// incarnation.
func (t *Table) removedByPlatform(now time.Time, r *record) bool {
	if now.Sub(r.lastSeen) <= t.failAfter {
		return false
	}
	if t.reportedGone(r) {
		return true
	}
	if _, has := t.platformList[r.VM.Name]; has {
		return false
	}
	unseen := t.listReadAt.Sub(r.lastSeen)
	return unseen > MaxListLag || t.everListed[r.VM.Name] && unseen > t.failAfter
}

// reportedGone reports whether any VM reports that a silent one was removed. Few VMs ever
// do, hence the check of goneReporters: scanning all VMs for each silent one is quadratic
// and took a millisecond per call of Peers with half of 300 VMs silent.
func (t *Table) reportedGone(r *record) bool {
	if t.goneReporters == 0 {
		return false
	}
	return slices.ContainsFunc(t.vms, func(other *record) bool { return other.VM.Gone[r.VM.Name] == r.Stamp.Incarnation })
}

// state returns the state of a VM. A silent one counts as Gone only according to the
// platform's list: it was on the list once and is missing from a list read more than
// failAfter after it was last seen; or it is missing from a list read more than
// MaxListLag after it was last seen, as is a VM that died before it was ever listed.
// Silence alone proves nothing, since a VM that is paused or partitioned from its peers
// may still have requests in flight.
func (t *Table) state(now time.Time, r *record) State {
	if r.VM.Leaving && len(r.VM.Held) == 0 || t.removedByPlatform(now, r) {
		return Gone
	}
	silent := now.Sub(r.lastSeen) > t.failAfter
	switch {
	case silent:
		return Silent
	case r.VM.Leaving:
		return Leaving
	default:
		return Live
	}
}

// purge evicts VMs that have been gone for longer than MaxListLag, expired reports,
// and the rosters and loads of a zone that an earlier publisher left behind.
func (t *Table) purge(now time.Time) {
	newest := make(map[string]time.Time)
	for _, r := range t.entries {
		if summary := r.summaryName(); summary != "" && r.lastSeen.After(newest[summary]) {
			newest[summary] = r.lastSeen
		}
	}
	for key, r := range t.entries {
		if t.expired(now, key, r, newest) {
			t.drop(key)
		}
	}
}

// expired reports whether a record can be evicted. newest is when the latest publisher
// of each roster and load was last seen.
func (t *Table) expired(now time.Time, key Key, r *record, newest map[string]time.Time) bool {
	switch {
	case r.Report != nil:
		return t.reportExpired(now.Sub(r.lastSeen))
	case now.Sub(r.lastSeen) <= MaxListLag || key == vmKey(t.self):
		return false
	case r.VM != nil:
		return t.state(now, r) == Gone
	case r.Usage != nil:
		return t.entries[vmKey(r.Usage.VM)] == nil
	}
	return newest[r.summaryName()].After(r.lastSeen)
}

// summaryName returns the name of a roster or load without its publisher, "" for entries
// of other kinds.
func (r *record) summaryName() string {
	switch {
	case r.Roster != nil:
		return "roster/" + r.Roster.Zone
	case r.Load != nil:
		return "load/" + r.Load.Zone
	default:
		return ""
	}
}

// Live returns the names of the table's live VMs, self included unless it is
// leaving, sorted.
func (t *Table) Live(now time.Time) []string {
	return t.liveNames(now, func(vm *VM) bool { return true }, true)
}

// Dispatching returns the names of the table's live VMs that may be given slots,
// sorted; self says whether this VM is one. A VM that has just started may not until
// it is in sync with its zone: if it were given a share earlier, its peers would give
// up slots that it does not take yet.
func (t *Table) Dispatching(now time.Time, self bool) []string {
	return t.liveNames(now, func(vm *VM) bool { return vm.Dispatches }, self)
}

func (t *Table) liveNames(now time.Time, include func(*VM) bool, self bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.vms)+1)
	for _, r := range t.vms {
		if r.VM.Name != t.self && t.state(now, r) == Live && include(r.VM) {
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
