package member

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// SetPlatformList sets the platform's list of VMs, as read at the given time. The list
// lags, so it never makes a VM Live; it only shows which silent VMs were removed.
func (t *Table) SetPlatformList(now time.Time, list []ListedVM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listReadAt = now
	t.platformList = make(map[string]ListedVM, len(list))
	for _, l := range list {
		t.platformList[l.Name] = l
		t.everListed[l.Name] = true
	}
}

// PlatformList returns the platform's list as last read, sorted by name.
func (t *Table) PlatformList() []ListedVM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.SortedFunc(maps.Values(t.platformList), func(a, b ListedVM) int { return strings.Compare(a.Name, b.Name) })
}

// IsListed reports whether the platform's list, as last read, contains this VM.
func (t *Table) IsListed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.platformList[t.self]
	return ok
}

// JoinHold is how long a VM that starts or resumes waits before it takes slots, while it receives
// the state of its peers.
type JoinHold struct {
	// Listed applies to a VM that is on the platform's list: the list then also
	// contains the peers that were there before it.
	Listed time.Duration
	// Unlisted applies to a VM that is not on the list yet or cannot read it.
	// It covers the time that rosters take to propagate through other zones.
	Unlisted time.Duration
}

// Synced reports whether the VM is in sync with its zone and may take slots: since
// it started or resumed after a pause it has waited for the hold, and has received
// heartbeats from every peer that may hold slots, including those that only the
// platform's list or a roster names. Without this, a VM that resumes after its slots
// were given to others would use them too, and two that start together would each
// take all.
func (t *Table) Synced(now time.Time, hold JoinHold) bool {
	peers := t.Peers(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	wait, rosters := hold.Unlisted, true
	if _, ok := t.platformList[t.self]; ok {
		wait, rosters = hold.Listed, false
	}
	if now.Sub(t.resumedAt) < wait || len(t.unseenPeers(rosters)) > 0 {
		return false
	}
	for _, m := range peers {
		if m.State != Gone && m.Heard.Before(t.resumedAt) {
			return false
		}
	}
	return true
}

// UnseenPeers returns the VMs of the zone that the platform's list or a roster names
// but that have no entry in the table, sorted by name.
func (t *Table) UnseenPeers() []ListedVM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unseenPeers(true)
}

// unseenPeers is UnseenPeers under the lock. rosters says whether rosters count.
func (t *Table) unseenPeers(rosters bool) []ListedVM {
	named := make(map[string]ListedVM)
	for _, l := range t.platformList {
		if l.Zone == t.zone && !l.Leaving {
			named[l.Name] = l
		}
	}
	for _, r := range t.entries {
		if !rosters || r.Roster == nil || r.Roster.Zone != t.zone {
			continue
		}
		for _, vm := range r.Roster.VMs {
			if !vm.Leaving && !t.delisted(vm.Name) {
				named[vm.Name] = ListedVM{Name: vm.Name, Zone: t.zone, Peer: vm.Peer}
			}
		}
	}
	maps.DeleteFunc(named, func(name string, _ ListedVM) bool {
		return name == t.self || t.entries[vmKey(name)] != nil
	})
	return slices.SortedFunc(maps.Values(named), func(a, b ListedVM) int { return strings.Compare(a.Name, b.Name) })
}

// delisted reports whether a VM was on the platform's list once and is not on the
// last one.
func (t *Table) delisted(name string) bool {
	_, has := t.platformList[name]
	return t.everListed[name] && !has
}
