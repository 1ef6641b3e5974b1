package member

import (
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"
)

// FailAfter is the default silence after which a VM is not Live any more.
const FailAfter = 5 * time.Second

// MaxListLag is the longest the platform's list of VMs is assumed to lag.
const MaxListLag = 5 * time.Minute

// Table is what one VM knows. It is safe for concurrent use.
type Table struct {
	self        string
	zone        string
	incarnation uint64
	failAfter   time.Duration
	reports     bool

	mu      sync.Mutex
	entries map[Key]*record
	// vms are the records of VMs, self included, by name.
	vms []*record
	// accusers is how many VMs tell of others that the platform has taken away.
	accusers int
	zones    map[string]*zoneRecords
	seq      uint64
	beat     uint64
	lastTick time.Time
	resumed  time.Time // When the VM last started or woke from a pause.
	listed   map[string]bool
	listAt   time.Time
	listHas  map[string]Listed
}

// record is an entry with the time of its writer's last beat.
type record struct {
	Entry
	heard time.Time
}

// aged returns the entry to be passed on now.
func (r *record) aged(now time.Time) Entry {
	e := r.Entry
	e.Stamp.Age = max(0, now.Sub(r.heard))
	return e
}

// Option varies a Table.
type Option func(*Table)

// WithFailAfter sets the silence after which a VM is not Live any more.
func WithFailAfter(d time.Duration) Option { return func(t *Table) { t.failAfter = d } }

// NewTable returns the table of a VM that knows only itself.
func NewTable(self, zone string, incarnation uint64, now time.Time, opts ...Option) *Table {
	t := &Table{
		self: self, zone: zone, incarnation: incarnation, failAfter: FailAfter,
		entries: map[Key]*record{}, zones: map[string]*zoneRecords{}, lastTick: now, resumed: now,
		listed: map[string]bool{}, listHas: map[string]Listed{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

func vmKey(name string) Key { return KeyOf("vm/" + name) }

func usageKey(name string) Key { return KeyOf("usage/" + name) }

// Tick is called on every heartbeat, before anything is judged by time. When
// the VM itself was paused, the silence of the others is its own: without this
// a VM that wakes takes every mate for failed at once.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	t.purge(now)
	if gap <= t.failAfter/2 {
		return
	}
	t.resumed = now
	for _, r := range t.entries {
		r.heard = r.heard.Add(gap)
	}
}

// NextSeq is the number under which the next content of the VM's own entry
// will stand.
func (t *Table) NextSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq + 1
}

// Publish renews the VM's own entry and counts its beat. Acks and Gone are
// filled in here.
func (t *Table) Publish(now time.Time, vm VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	vm.Acks, vm.Gone = map[string]uint64{}, map[string]uint64{}
	for _, r := range t.entries {
		if r.VM == nil || r.VM.Name == t.self {
			continue
		}
		if r.VM.Pending {
			vm.Acks[r.VM.Name] = r.Stamp.Seq
		}
		if t.takenAway(now, r) {
			vm.Gone[r.VM.Name] = r.Stamp.Incarnation
		}
	}
	t.beat++
	t.publish(now, Entry{Stamp: Stamp{Key: vmKey(t.self)}, VM: &vm})
}

// PublishUsage renews what the VM tells of its load.
func (t *Table) PublishUsage(now time.Time, u Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(now, Entry{Stamp: Stamp{Key: usageKey(t.self)}, Usage: &u})
}

// PublishZone renews the roster and the load this VM publishes for its zone.
func (t *Table) PublishZone(now time.Time, roster Roster, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(now, Entry{Stamp: Stamp{Key: KeyOf("roster/" + t.zone + "/" + t.self)}, Roster: &roster})
	t.publish(now, Entry{Stamp: Stamp{Key: KeyOf("load/" + t.zone + "/" + t.self)}, Load: &load})
}

// publish stores an own entry. One whose content has not changed keeps its
// number, so that only its beat has to travel.
func (t *Table) publish(now time.Time, e Entry) {
	old := t.entries[e.Stamp.Key]
	e.Stamp.Incarnation, e.Stamp.Beat = t.incarnation, t.beat
	if old != nil && old.sameBody(&e) {
		e.Stamp.Seq = old.Stamp.Seq
	} else {
		t.seq++
		e.Stamp.Seq = t.seq
	}
	t.put(&record{Entry: e, heard: now})
}

// put stores a record in place of an earlier one under its key.
func (t *Table) put(r *record) {
	t.drop(r.Stamp.Key)
	t.entries[r.Stamp.Key] = r
	t.addToZone(r)
	if r.VM == nil {
		return
	}
	t.vms = slices.Insert(t.vms, t.place(r.VM.Name), r)
	if len(r.VM.Gone) > 0 {
		t.accusers++
	}
}

// drop takes a record out, if it is there.
func (t *Table) drop(key Key) {
	r := t.entries[key]
	delete(t.entries, key)
	if r == nil {
		return
	}
	t.removeFromZone(r)
	if r.VM == nil {
		return
	}
	i := t.place(r.VM.Name)
	for t.vms[i] != r { // Another entry may claim the same name.
		i++
	}
	t.vms = slices.Delete(t.vms, i, i+1)
	if len(r.VM.Gone) > 0 {
		t.accusers--
	}
}

// place returns the index in vms of the first record with a name, or where it belongs.
func (t *Table) place(name string) int {
	i, _ := slices.BinarySearchFunc(t.vms, name, func(r *record, name string) int { return strings.Compare(r.VM.Name, name) })
	return i
}

func (e *Entry) sameBody(other *Entry) bool {
	return reflect.DeepEqual(e.VM, other.VM) && reflect.DeepEqual(e.Usage, other.Usage) &&
		reflect.DeepEqual(e.Roster, other.Roster) && reflect.DeepEqual(e.Load, other.Load) &&
		reflect.DeepEqual(e.Report, other.Report)
}

// Own returns the VM's own entry, or nil before the first Publish.
func (t *Table) Own() *VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.entries[vmKey(t.self)]; r != nil {
		return r.VM
	}
	return nil
}
