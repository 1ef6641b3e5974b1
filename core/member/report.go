package member

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report says which VMs of its zone a VM does not hear. The others are alive as of the
// report's beat.
type Report struct {
	Zone string
	// VM is the one that reports.
	VM string
	// Silent are the keys of the VMs it does not hear, in ascending order.
	Silent []Key
}

// ZoneSum stands for the entries of a zone's VMs, their beats left out.
type ZoneSum struct {
	Zone string
	Sum  uint64
}

// zoneRecords are the records of one zone's VMs and of its reports.
type zoneRecords struct {
	vms     map[Key]*record
	reports map[Key]*record
	// sum is that of ZoneSum.
	sum uint64
}

// WithReports makes VMs' entries travel to all zones, while their beats stay within
// their own: of another zone, reports tell who is alive.
func WithReports() Option { return func(t *Table) { t.reports = true } }

func reportKey(zone, vm string) Key { return KeyOf("report/" + zone + "/" + vm) }

// PublishReport tells the other zones which VMs of its own this one hears.
func (t *Table) PublishReport(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &Report{Zone: t.zone, VM: t.self}
	for key, r := range t.zoneOf(t.zone).vms {
		if r.VM.Name != t.self && now.Sub(r.heard) > t.failAfter {
			report.Silent = append(report.Silent, key)
		}
	}
	slices.Sort(report.Silent)
	t.publish(now, Entry{Stamp: Stamp{Key: reportKey(t.zone, t.self)}, Report: report})
}

// Sums returns a sum for each zone of which a VM is known.
func (t *Table) Sums() []ZoneSum {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make([]ZoneSum, 0, len(t.zones))
	for zone, z := range t.zones {
		if len(z.vms) > 0 {
			sums = append(sums, ZoneSum{zone, z.sum})
		}
	}
	return sums
}

// Differing returns the zones of which this table and the one whose sums are given have
// different entries.
func (t *Table) Differing(theirs []ZoneSum) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var zones []string
	listed := make(map[string]bool, len(theirs))
	for _, s := range theirs {
		listed[s.Zone] = true
		if z := t.zones[s.Zone]; z == nil || z.sum != s.Sum {
			zones = append(zones, s.Zone)
		}
	}
	for zone, z := range t.zones {
		if !listed[zone] && len(z.vms) > 0 {
			zones = append(zones, zone)
		}
	}
	return zones
}

func (t *Table) zoneOf(zone string) *zoneRecords {
	z := t.zones[zone]
	if z == nil {
		z = &zoneRecords{vms: make(map[Key]*record), reports: make(map[Key]*record)}
		t.zones[zone] = z
	}
	return z
}

// addToZone and removeFromZone keep the records of zones in step with the entries.
func (t *Table) addToZone(r *record) {
	switch {
	case r.VM != nil:
		z := t.zoneOf(r.VM.Zone)
		z.vms[r.Stamp.Key] = r
		z.sum ^= r.Stamp.Content()
	case r.Report != nil:
		t.zoneOf(r.Report.Zone).reports[r.Stamp.Key] = r
	}
}

func (t *Table) removeFromZone(r *record) {
	switch {
	case r.VM != nil:
		z := t.zoneOf(r.VM.Zone)
		delete(z.vms, r.Stamp.Key)
		z.sum ^= r.Stamp.Content()
	case r.Report != nil:
		delete(t.zoneOf(r.Report.Zone).reports, r.Stamp.Key)
	}
}

// Content is a hash of what names an entry's content.
func (s Stamp) Content() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(s.Key))
	binary.LittleEndian.PutUint64(b[8:], s.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], s.Seq)
	return xxhash.Sum64(b[:])
}

// takeReport renews when the VMs of another zone were last heard there. One VM of that
// zone that hears a mate outweighs any number that do not: these may be cut off.
func (t *Table) takeReport(now time.Time, report *record) {
	if report.Report.Zone == t.zone {
		return // Its beats are heard here.
	}
	z := t.zoneOf(report.Report.Zone)
	// A VM that is reported silent counts as that at once, not only after as long again.
	silentSince := report.heard.Add(-t.failAfter - 1)
	for _, r := range z.vms {
		switch {
		case report.Report.hears(r):
			r.heard = latest(r.heard, report.heard)
		case report.heard.After(r.heard) && !t.heardThere(now, z, r):
			r.heard = earliest(r.heard, silentSince)
		}
	}
}

// hears reports whether a report says that a VM of its zone is alive.
func (r *Report) hears(vm *record) bool {
	if r.VM == vm.VM.Name {
		return true
	}
	_, silent := slices.BinarySearch(r.Silent, vm.Stamp.Key)
	return !silent
}

// heardThere reports whether any report of a zone that still counts says that a VM is alive.
func (t *Table) heardThere(now time.Time, z *zoneRecords, vm *record) bool {
	for _, report := range z.reports {
		if now.Sub(report.heard) <= t.failAfter && report.Report.hears(vm) {
			return true
		}
	}
	return false
}

// isStale reports whether a report of an age says nothing any more.
func (t *Table) isStale(age time.Duration) bool { return age > 2*t.failAfter }

// Partner returns the VM to exchange with of those of a zone, which are in order of name and
// without self, "" where there are none. pick is any number; each VM has as many partners as
// the logarithm of the VMs' number, at distances of powers of two, so that it keeps its
// connections to them and a beat takes no more exchanges to go round than between any two.
func Partner(mates []string, self string, pick int) string {
	if len(mates) == 0 {
		return ""
	}
	steps := bits.Len(uint(len(mates)))
	place, _ := slices.BinarySearch(mates, self)
	// The VM's own place is left out: the next one stands there.
	return mates[(place+1<<(pick%steps)-1)%len(mates)]
}
