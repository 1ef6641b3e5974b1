// Package member keeps the membership table of one VM: which VMs of its own
// availability zone are live, leaving, silent or gone, and a summary of every
// other zone.
//
// # Entries
//
// The table is a set of entries, each written by one VM only and numbered by
// (incarnation, sequence). Of two entries with the same key the one with the
// higher number wins, so entries may arrive late, twice or in any order. Entries
// about a VM are gossiped within its zone. The roster and the load of a zone are
// gossiped to all zones; the VM that rendezvous hashing selects publishes them.
//
// A table made WithReports holds the VMs of all zones, for fleets in which any VM may have
// work for any other. To keep the gossip traffic of a VM from growing with the size of the
// fleet, entries propagate to all zones, but heartbeats only within their own zone. For the
// other zones, two VMs of each zone report which of its VMs are silent, and an exchange
// compares one checksum for each other zone. The stamps of that zone's VMs are compared only
// if the checksums differ.
//
// The number of an entry rises only when its content changes. That its writer is
// alive shows in a beat counter that rises on every heartbeat and is sent in the
// digests, at a few bytes. Sending whole entries on every heartbeat cost 32 KB/s
// per VM with 16 VMs in a zone.
//
// This is a replicated table with one writer per row. A merge is a total
// function and the arbitration order is the row's own number: the case in which
// the updates of "Eventually Consistent Transactions" (Burckhardt et al.) need
// no revision diagram, as no two replicas ever fork the same row.
//
// # Usage
//
//	t := member.NewTable("vm-a", "ro-nord-1", incarnation, now)
//	t.Publish(now, state)
//	send(t.Digest(now, scope))             // To a peer of this or another zone.
//	delta := t.Answer(now, scope, digest)  // At the receiver of a digest.
//	t.MergeDelta(now, delta)               // Back at the sender.
//	live := t.Live(now)
//
// and WithReports:
//
//	t.PublishReport(now)                   // On two VMs of each zone.
//	zones := t.Differing(sums)             // At the receiver of a peer's Sums.
//	t.Digest(now, Scope{Zones: zones})     // To compare these zones.
package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an entry: the hash of its kind and its subject. Among 600
// entries the chance of a collision is 1 in 10^14.
type Key uint64

// KeyOf returns the key of the entry with the given name, such as "vm/a".
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Stamp identifies an entry, its number and the last heartbeat of its writer.
type Stamp struct {
	Key         Key
	Incarnation uint64
	// Seq rises with each change of the content within an incarnation.
	Seq uint64
	// Beat rises with each heartbeat of the writer.
	Beat uint64
	// Age is the time since the last beat, as far as the sender of the stamp
	// knows. Without it, a VM that has just started would take the summary of a
	// zone that was partitioned long ago for recent, and a VM that died long ago
	// for alive.
	Age time.Duration
}

// newer reports whether the content of s is later than that of old.
func (s Stamp) newer(old Stamp) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Seq > old.Seq
}

// laterBeat reports whether s has a later beat than old of the same incarnation.
func (s Stamp) laterBeat(old Stamp) bool {
	return s.Incarnation == old.Incarnation && s.Beat > old.Beat
}

// Entry is one row of the table. Exactly one of the fields after Stamp is set.
type Entry struct {
	Stamp  Stamp
	VM     *VM
	Usage  *Usage
	Roster *Roster
	Load   *Load
	Report *Report
}

// aboutVM reports whether the entry describes a single VM rather than a zone. Such
// entries stay within the VM's zone, except VM entries of a table made WithReports.
func (e *Entry) aboutVM() bool { return e.VM != nil || e.Usage != nil }

// Scope selects the entries that an exchange between two VMs covers.
type Scope struct {
	// Zone is the zone of the other VM.
	Zone string
	// Global exchanges include the rosters, loads and reports of all zones.
	Global bool
	// Zones are the zones whose VM entries are compared one by one.
	Zones []string
}

// Delta is the response to a digest.
type Delta struct {
	// Entries are those that the digest lacks or has an older content of.
	Entries []Entry
	// Beats are the stamps with a later beat than in the digest.
	Beats []Stamp
	// Want are the keys of which the digest has a newer content.
	Want []Key
}

// VM is the state that a VM publishes about itself.
type VM struct {
	Name    string
	Zone    string
	Address Address
	Leaving bool
	// Dispatches says that the VM is in sync with its zone and may take slots.
	Dispatches bool
	// Version is the inventory version in force, and Era the era of the platform that it is
	// from.
	Version, Era uint64
	// Held is the number of slots held, by target.
	Held map[string]int
	// Pending asks the peers to acknowledge this entry's Seq.
	Pending bool
	// Acks are the highest Seqs received of peers that are Pending, by name.
	Acks map[string]uint64
	// Gone are the incarnations of the VMs that the platform has removed
	// according to the list, as read by this VM or a peer, by name. Other peers
	// may not have read the list in time to see the removal themselves.
	Gone map[string]uint64
	// Health is what this VM has itself detected about upstreams that are not
	// up: target to state name.
	Health   map[string]string
	Capacity Capacity
	// Traffic is the load by callers.
	Traffic Traffic
	// CutOff says that the VM reaches no upstream.
	CutOff bool
	// Relays says that the VM serves requests that other VMs relay, as their header fields say.
	Relays bool
	// PlatformTrip is the round trip to the platform; 0: not known.
	PlatformTrip time.Duration
}

// Capacity is the bandwidth and processor time of a VM. The zero value is not known.
type Capacity struct {
	// LinkMbps is the bandwidth of its link in each direction, in Mbit/s.
	LinkMbps float64
	// Cores is the processor time available per second, in seconds of a typical core.
	Cores float64
}

// Traffic is the load by callers per second.
type Traffic struct {
	Requests float64
	// Bytes of the bodies of requests and responses.
	Bytes float64
}

// Usage is the load of a VM and the demand of its callers.
type Usage struct {
	VM string
	// Settled says that the VM is in sync with its zone and has its full share of
	// slots in force, so that the figures show what it can carry.
	Settled  bool
	Services []ServiceLoad
	Demands  []Demand
}

// Address lists the addresses of a VM, by who connects to them.
type Address struct {
	Name     string
	Zone     string
	Caller   string
	Forward  string
	Peer     string
	Operator string
	Leaving  bool
}

// ServiceLoad is the load of one service on a VM or in a zone, in slots.
type ServiceLoad struct {
	Service string
	Slots   int
	InUse   int
	Queued  int
}

// Demand is the number of slots that the callers of an origin zone ask for, whether
// they get them or not.
type Demand struct {
	Service string
	Origin  string
	Slots   float64
}

// Roster is the list of a zone's VMs.
type Roster struct {
	Zone string
	VMs  []Address
}

// Load is the summary of a zone.
type Load struct {
	Zone     string
	Services []ServiceLoad
	Demands  []Demand
	// MinVersion is the lowest inventory version in force on the zone's VMs.
	MinVersion uint64
	VMCount    int
	// Settled is the number of VMs whose slots are in force. At 0 the zone has
	// just started, and its number of slots means nothing yet.
	Settled int
}

// State is the state of a VM as seen by a peer.
type State int

// The states of a VM.
const (
	// Live VMs have sent a heartbeat recently.
	Live State = iota
	// Leaving VMs drain: they finish their requests and take no new slots.
	Leaving
	// Silent VMs may be dead, paused or partitioned. They may still hold slots.
	Silent
	// Gone VMs hold no slots any more.
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Live", "Leaving", "Silent", "Gone"}[s]
}

// ListedVM is one VM of the platform's list, which lags.
type ListedVM struct {
	Name    string
	Zone    string
	Peer    string
	Leaving bool
}

// Status is one VM of the table and its state.
type Status struct {
	VM    *VM
	State State
	Stamp Stamp
	// Heard is when the VM was last seen alive.
	Heard time.Time
}
