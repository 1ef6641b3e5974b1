package member

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report lists the VMs of its zone from which a VM receives no heartbeats. The others
// were alive as of the report's beat.
type Report struct {
	Zone string
	// VM is the one that reports.
	VM string
	// Silent are the keys of the silent VMs' entries, in ascending order.
	Silent []Key
}

// ZoneSum is a checksum of the entries of a zone's VMs without their beats.
type ZoneSum struct {
	Zone string
	Sum  uint64
}

// zoneRecords indexes the records of one zone's VMs and of its reports.
type zoneRecords struct {
	vms     map[Key]*record
	reports map[Key]*record
	// sum is the checksum of ZoneSum.
	sum uint64
}

// WithReports makes the entries of VMs propagate to all zones, while their beats stay
// within their own: which VMs of another zone are alive is taken from its reports.
func WithReports() Option { return func(t *Table) { t.useReports = true } }

func reportKey(zone, vm string) Key { return KeyOf("report/" + zone + "/" + vm) }

// PublishReport publishes, for the other zones, which VMs of its own zone this VM
// receives no heartbeats from.
func (t *Table) PublishReport(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &Report{Zone: t.zone, VM: t.self}
	for key, r := range t.zoneOf(t.zone).vms {
		if r.VM.Name != t.self && now.Sub(r.lastSeen) > t.failAfter {
			report.Silent = append(report.Silent, key)
		}
	}
	slices.Sort(report.Silent)
	t.publish(now, Entry{Stamp: Stamp{Key: reportKey(t.zone, t.self)}, Report: report})
}

// Sums returns the checksum of each zone of which the table has a VM.
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

// Differing returns the zones whose VM entries differ between this table and the one
// that the given checksums are of.
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

// addToZone and removeFromZone keep the index of zones consistent with the entries.
func (t *Table) addToZone(r *record) {
	switch {
	case r.VM != nil:
		z := t.zoneOf(r.VM.Zone)
		z.vms[r.Stamp.Key] = r
		z.sum ^= r.Stamp.ContentHash()
	case r.Report != nil:
		t.zoneOf(r.Report.Zone).reports[r.Stamp.Key] = r
	}
}

func (t *Table) removeFromZone(r *record) {
	switch {
	case r.VM != nil:
		z := t.zoneOf(r.VM.Zone)
		delete(z.vms, r.Stamp.Key)
		z.sum ^= r.Stamp.ContentHash()
	case r.Report != nil:
		delete(t.zoneOf(r.Report.Zone).reports, r.Stamp.Key)
	}
}

// ContentHash returns a hash of the key and number, which identify an entry's content.
func (s Stamp) ContentHash() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(s.Key))
	binary.LittleEndian.PutUint64(b[8:], s.Incarnation)
	binary.LittleEndian.PutUint64(b[16:], s.Seq)
	return xxhash.Sum64(b[:])
}

// applyReport updates when the VMs of another zone were last seen there. One report that
// a VM is alive outweighs any number of reports that it is silent: their authors may be
// partitioned from it.
func (t *Table) applyReport(now time.Time, report *record) {
	if report.Report.Zone == t.zone {
		return // The beats of this zone are received directly.
	}
	z := t.zoneOf(report.Report.Zone)
	// A VM that is reported silent becomes silent at once, not after another failAfter.
	silentSince := report.lastSeen.Add(-t.failAfter - 1)
	for _, r := range z.vms {
		switch {
		case report.Report.saysAlive(r):
			r.lastSeen = latest(r.lastSeen, report.lastSeen)
		case report.lastSeen.After(r.lastSeen) && !t.reportedAlive(now, z, r):
			r.lastSeen = earliest(r.lastSeen, silentSince)
		}
	}
}

// saysAlive reports whether a report says that a VM of its zone is alive.
func (r *Report) saysAlive(vm *record) bool {
	if r.VM == vm.VM.Name {
		return true
	}
	_, silent := slices.BinarySearch(r.Silent, vm.Stamp.Key)
	return !silent
}

// reportedAlive reports whether any report of a zone within failAfter says that a VM is alive.
func (t *Table) reportedAlive(now time.Time, z *zoneRecords, vm *record) bool {
	for _, report := range z.reports {
		if now.Sub(report.lastSeen) <= t.failAfter && report.Report.saysAlive(vm) {
			return true
		}
	}
	return false
}

// reportExpired reports whether a report of the given age no longer counts.
func (t *Table) reportExpired(age time.Duration) bool { return age > 2*t.failAfter }

// Partner returns the VM of a zone to exchange with, "" if there is none. The zone's VMs are
// sorted by name and without self. pick is any non-negative number, such as a random one.
// Each VM has a logarithmic number of partners, at distances of powers of two. So it keeps
// its connections to them open, and a beat needs no more exchanges to reach all VMs than
// with random pairs.
func Partner(peers []string, self string, pick int) string {
	if len(peers) == 0 {
		return ""
	}
	steps := bits.Len(uint(len(peers)))
	index, _ := slices.BinarySearch(peers, self)
	// As self is left out, its index is that of the VM after it.
	return peers[(index+1<<(pick%steps)-1)%len(peers)]
}
