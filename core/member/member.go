// Package member keeps what one VM knows of the others: which VMs of its own
// availability zone are live, leaving, silent or gone, and a summary of every
// other zone.
//
// # Entries
//
// Knowledge is a set of entries, each written by one VM only and numbered by
// (incarnation, sequence). Of two entries under one key the higher number
// stays, so entries may arrive late, twice or in any order. Entries of a VM
// travel within its zone; rosters and loads of a zone travel everywhere,
// published by the VM that rendezvous hashing names.
//
// A table made WithReports has the VMs of all zones, for fleets in which any VM may have
// work for any other. What VMs tell each other must not grow with all of them: their
// entries travel to all zones, but their beats only within their own. For the other zones
// two VMs report whom of their zone they do not hear, and a digest has one sum in place of
// the stamps of another zone's VMs, which are compared only where the sums differ.
//
// An entry is renewed in number only when its content changes. That its writer
// is alive is told by a beat that rises on every heartbeat and travels in the
// digests, at a few bytes: passing whole entries on for it cost 32 KB/s a VM at
// 16 VMs in a zone.
//
// This is a replicated table with one writer a row. A merge is a total
// function and the arbitration order is the row's own number: the case in which
// the updates of "Eventually Consistent Transactions" (Burckhardt et al.) need
// no revision diagram, as no two replicas ever fork the same row.
//
// # Usage
//
//	t := member.NewTable("vm-a", "ro-nord-1", incarnation, now)
//	t.Publish(now, state)
//	send(t.Digest(now, scope))             // To a mate or another zone.
//	delta := t.Answer(now, scope, digest)  // Where a digest arrives.
//	t.Take(now, delta)                     // Back at the sender.
//	live := t.Live(now)
//
// and WithReports:
//
//	t.PublishReport(now)                   // On two VMs of each zone.
//	zones := t.Differing(sums)             // Where another's Sums arrive.
//	t.Digest(now, Scope{Zones: zones})     // To compare those.
package member

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names an entry: the hash of its kind and what it is about. At 600 entries
// two names share one with a chance of 1 in 10^14.
type Key uint64

// KeyOf returns the key of an entry by its name, such as "vm/a".
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Stamp names an entry, its number and how alive its writer is.
type Stamp struct {
	Key         Key
	Incarnation uint64
	// Seq rises with each change of the content.
	Seq uint64
	// Beat rises with each heartbeat of the writer.
	Beat uint64
	// Age is the time since the last beat, as far as the one who passes it on
	// knows. Without it a summary of a zone cut off long ago would look fresh to
	// a VM that has just started, and a VM dead long ago alive.
	Age time.Duration
}

// newer reports whether s has another content than old, and the later one.
func (s Stamp) newer(old Stamp) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Seq > old.Seq
}

// livelier reports whether s tells of a later beat than old.
func (s Stamp) livelier(old Stamp) bool {
	return s.Incarnation == old.Incarnation && s.Beat > old.Beat
}

// Entry is one row of the table: exactly one body is set.
type Entry struct {
	Stamp  Stamp
	VM     *VM
	Usage  *Usage
	Roster *Roster
	Load   *Load
	Report *Report
}

// zonal reports whether the entry stays within its zone.
func (e *Entry) zonal() bool { return e.VM != nil || e.Usage != nil }

// Scope says what an exchange between two VMs is about.
type Scope struct {
	// Zone of the other VM.
	Zone string
	// Global exchanges include the entries of all zones.
	Global bool
	// Zones are those whose VMs are compared one by one.
	Zones []string
}

// Delta is the answer to a digest.
type Delta struct {
	Entries []Entry
	// Beats are later than those in the digest.
	Beats []Stamp
	// Want are keys of which the digest has a newer content.
	Want []Key
}

// VM is what a VM tells its zone.
type VM struct {
	Name    string
	Zone    string
	Address Address
	Leaving bool
	// Dispatches says that the VM knows its zone well enough to take slots.
	Dispatches bool
	// Version of the inventory in force.
	Version uint64
	// Held slots by target.
	Held map[string]int
	// Pending asks the mates to acknowledge this entry's Seq.
	Pending bool
	// Acks are the newest entries seen of mates that are Pending.
	Acks map[string]uint64
	// Gone are the VMs, with their incarnation, that the platform has taken away
	// by what this VM read. Others may not have read the list in time to tell.
	Gone map[string]uint64
	// Health is what this VM has found out itself about upstreams that are not
	// up: target to state name.
	Health map[string]string
	// Capacity is what the VM has.
	Capacity Capacity
	// Traffic is what callers ask of it.
	Traffic Traffic
	// PlatformTrip is the VM's round trip to the platform; 0: not known.
	PlatformTrip time.Duration
}

// Capacity is what a VM has. The zero value is one that is not known.
type Capacity struct {
	// LinkMbps is the bandwidth of its link in each direction, in Mbit/s.
	LinkMbps float64
	// Cores is how much processor time it has in each second, in seconds of a usual core.
	Cores float64
}

// Traffic is what callers ask for in each second.
type Traffic struct {
	Requests float64
	// Bytes of requests' and answers' bodies.
	Bytes float64
}

// Usage is what a VM's slots are used for.
type Usage struct {
	VM string
	// Settled says that the VM knows its zone and has all slots in force that
	// are its share, so that the figures tell what it can carry.
	Settled  bool
	Services []ServiceLoad
	Demands  []Demand
}

// Address is where a VM is reached.
type Address struct {
	Name     string
	Zone     string
	Caller   string
	Forward  string
	Peer     string
	Operator string
	Leaving  bool
}

// ServiceLoad is the load of one service in a VM or in a zone, in slots.
type ServiceLoad struct {
	Service string
	Slots   int
	InUse   int
	Queued  int
}

// Demand is how many slots the callers of an origin zone ask for, served or not.
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

// Load sums up a zone.
type Load struct {
	Zone     string
	Services []ServiceLoad
	Demands  []Demand
	// MinVersion is the lowest inventory version in force on the zone's VMs.
	MinVersion uint64
	VMCount    int
	// Settled VMs have their slots in force. With none the zone has just
	// started, and that it has no slots says nothing yet.
	Settled int
}

// State of a VM as others see it.
type State int

// The states of a VM.
const (
	// Live VMs have been heard lately.
	Live State = iota
	// Leaving VMs serve what they have.
	Leaving
	// Silent VMs may be dead, paused or cut off. They may still hold slots.
	Silent
	// Gone VMs hold nothing any more.
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Live", "Leaving", "Silent", "Gone"}[s]
}

// Listed is the platform's lagging word on one VM.
type Listed struct {
	Name    string
	Zone    string
	Peer    string
	Leaving bool
}

// Status is one VM of the zone with what is known of it.
type Status struct {
	VM    *VM
	State State
	Stamp Stamp
	// Heard is when its number last rose.
	Heard time.Time
}
