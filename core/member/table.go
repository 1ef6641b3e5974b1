package member

import (
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"
)

// FailAfter is the default time without a heartbeat after which a VM is Silent.
const FailAfter = 5 * time.Second

// MaxListLag is the longest time that the platform's list of VMs is assumed to lag.
const MaxListLag = 5 * time.Minute

// Table is the membership table of one VM. It is safe for concurrent use.
type Table struct {
	self        string
	zone        string
	incarnation uint64
	failAfter   time.Duration
	useReports  bool

	mu      sync.Mutex
	entries map[Key]*record
	// vms are the records of VMs, self included, sorted by name.
	vms []*record
	// goneReporters is the number of VMs whose Gone is not empty.
	goneReporters int
	zones         map[string]*zoneRecords
	seq           uint64
	beat          uint64
	lastTick      time.Time
	resumedAt     time.Time // When the VM last started or resumed after a pause.
	// everListed has the VMs that were ever on the platform's list, platformList those of
	// the last one.
	everListed   map[string]bool
	listReadAt   time.Time
	platformList map[string]ListedVM
}

// record is an entry of the table.
type record struct {
	Entry
	// lastSeen is when its writer was last seen alive.
	lastSeen time.Time
}

// withAge returns the entry as it is sent now.
func (r *record) withAge(now time.Time) Entry {
	e := r.Entry
	e.Stamp.Age = max(0, now.Sub(r.lastSeen))
	return e
}

// Option configures a Table.
type Option func(*Table)

// WithFailAfter sets the time without a heartbeat after which a VM is Silent.
func WithFailAfter(d time.Duration) Option { return func(t *Table) { t.failAfter = d } }

// NewTable returns the empty table of the VM self.
func NewTable(self, zone string, incarnation uint64, now time.Time, opts ...Option) *Table {
	t := &Table{
		self: self, zone: zone, incarnation: incarnation, failAfter: FailAfter,
		entries: map[Key]*record{}, zones: map[string]*zoneRecords{}, lastTick: now, resumedAt: now,
		everListed: map[string]bool{}, platformList: map[string]ListedVM{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

func vmKey(name string) Key { return KeyOf("vm/" + name) }

func usageKey(name string) Key { return KeyOf("usage/" + name) }

// Tick is called on every heartbeat, before the state of any VM is asked for. If
// this VM itself was paused, Tick moves the last-seen times forward by the pause:
// without this, a VM that resumes would take all its peers for silent at once.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	t.purge(now)
	if gap <= t.failAfter/2 {
		return
	}
	t.resumedAt = now
	for _, r := range t.entries {
		r.lastSeen = r.lastSeen.Add(gap)
	}
}

// NextSeq returns the Seq that the next changed content of the VM's own entry gets.
func (t *Table) NextSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq + 1
}

// Publish sets the VM's own entry and counts a beat. It fills in Acks and Gone.
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
		if t.removedByPlatform(now, r) {
			vm.Gone[r.VM.Name] = r.Stamp.Incarnation
		}
	}
	t.beat++
	t.publish(now, Entry{Stamp: Stamp{Key: vmKey(t.self)}, VM: &vm})
}

// PublishUsage sets the usage that the VM publishes.
func (t *Table) PublishUsage(now time.Time, u Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(now, Entry{Stamp: Stamp{Key: usageKey(t.self)}, Usage: &u})
}

// PublishZone sets the roster and the load that this VM publishes for its zone.
func (t *Table) PublishZone(now time.Time, roster Roster, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish(now, Entry{Stamp: Stamp{Key: KeyOf("roster/" + t.zone + "/" + t.self)}, Roster: &roster})
	t.publish(now, Entry{Stamp: Stamp{Key: KeyOf("load/" + t.zone + "/" + t.self)}, Load: &load})
}

// publish stores an entry of this VM. If its content has not changed it keeps its
// number, so that only its beat has to be sent.
func (t *Table) publish(now time.Time, e Entry) {
	old := t.entries[e.Stamp.Key]
	e.Stamp.Incarnation, e.Stamp.Beat = t.incarnation, t.beat
	if old != nil && old.sameContent(&e) {
		e.Stamp.Seq = old.Stamp.Seq
	} else {
		t.seq++
		e.Stamp.Seq = t.seq
	}
	t.put(&record{Entry: e, lastSeen: now})
}

// put stores a record and replaces any earlier one with its key.
func (t *Table) put(r *record) {
	t.drop(r.Stamp.Key)
	t.entries[r.Stamp.Key] = r
	t.addToZone(r)
	if r.VM == nil {
		return
	}
	t.vms = slices.Insert(t.vms, t.vmIndex(r.VM.Name), r)
	if len(r.VM.Gone) > 0 {
		t.goneReporters++
	}
}

// drop deletes the record with the given key, if there is one.
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
	i := t.vmIndex(r.VM.Name)
	for t.vms[i] != r { // Another entry may have the same name.
		i++
	}
	t.vms = slices.Delete(t.vms, i, i+1)
	if len(r.VM.Gone) > 0 {
		t.goneReporters--
	}
}

// vmIndex returns the index in vms of the first record with a name, or where to insert one.
func (t *Table) vmIndex(name string) int {
	i, _ := slices.BinarySearchFunc(t.vms, name, func(r *record, name string) int { return strings.Compare(r.VM.Name, name) })
	return i
}

func (e *Entry) sameContent(other *Entry) bool {
	return reflect.DeepEqual(e.VM, other.VM) && reflect.DeepEqual(e.Usage, other.Usage) &&
		reflect.DeepEqual(e.Roster, other.Roster) && reflect.DeepEqual(e.Load, other.Load) &&
		reflect.DeepEqual(e.Report, other.Report)
}

// Own returns the state that the VM published last, nil before the first Publish.
func (t *Table) Own() *VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.entries[vmKey(t.self)]; r != nil {
		return r.VM
	}
	return nil
}
