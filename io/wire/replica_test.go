package wire_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/replica"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

var start = time.Unix(1000, 0)

// registrations returns a table with the registrations of n upstreams.
func registrations(n int) *replica.Table {
	t := replica.NewTable("targets", func(_ string, a, b []byte) bool { return string(a) == string(b) })
	d := replica.Delta{Whole: true, To: replica.Head{Table: "targets", Version: uint64(n)}}
	for i := range n {
		value := fmt.Sprintf(`{"Addr":"10.%d.64.%d:8427","Info":{"Service":"service-%d","Version":"v1","Zone":"zone-%d","Slots":5},`+
			`"Status":{"State":"ready","ColdLeft":"0ms","Seq":%d},"born":17728%08d}`, i%9, i%250, i%3, i%9, i*7, i*1009)
		d.Rows = append(d.Rows, replica.Row{Key: fmt.Sprintf("i-%010x", i*2654435761), Version: uint64(i + 1), Value: []byte(value)})
	}
	t.Apply(start, d)
	return t
}

// received returns the rows of a VM with an empty replica after it applied the deltas.
func received(t *testing.T, list []*schema.ReplicaDelta) []replica.Row {
	t.Helper()
	deltas, err := wire.ReplicaDeltas(list)
	if err != nil {
		t.Fatal(err)
	}
	copied := registrations(0)
	for _, d := range deltas {
		copied.Apply(start, d)
	}
	rows, _ := copied.Rows()
	return rows
}

// All VMs of a large fleet start at once, and 60 of them request 900 upstreams, 225 KB,
// from one seed. Unpacked, that takes its link of 20 Mbit/s over five seconds. An exchange
// times out after one, so all of them failed and the VMs read the platform instead. Packed,
// all copies must be sent within one second.
func TestWholeTablesArePacked(t *testing.T) {
	const (
		copies     = 60
		linkSecond = 20e6 / 8 // Bytes.
	)
	table := registrations(900)
	list := []replica.Delta{table.Since(start, 0)}
	var packer wire.TablePacker
	plain, packed := wire.FromReplicaDeltas(list), packer.FromReplicaDeltas(list)
	if n := copies * proto.Size(plain[0]); n < 4*linkSecond {
		t.Errorf("%d unpacked copies are %d bytes, too few for this test", copies, n)
	}
	if n := copies * proto.Size(packed[0]); n > linkSecond {
		t.Errorf("%d packed copies are %d bytes, more than a link of 20 Mbit/s carries in a second", copies, n)
	}
	want, _ := table.Rows()
	equal := func(a, b replica.Row) bool {
		return a.Key == b.Key && a.Version == b.Version && string(a.Value) == string(b.Value)
	}
	if got := received(t, packed); !slices.EqualFunc(got, want, equal) {
		t.Errorf("received %d rows, want the %d that were sent", len(got), len(want))
	}
	table.Apply(start, replica.Delta{From: 900, To: replica.Head{Table: "targets", Version: 901}, Rows: []replica.Row{{Key: "new", Version: 901, Value: []byte("v")}}})
	if got := received(t, packer.FromReplicaDeltas([]replica.Delta{table.Since(start, 0)})); len(got) != 901 {
		t.Errorf("after a change: received %d rows, want 901", len(got))
	}
}

func TestFewRowsAreNotPacked(t *testing.T) {
	var packer wire.TablePacker
	list := packer.FromReplicaDeltas([]replica.Delta{registrations(3).Since(start, 0)})
	if len(list[0].Rows) != 3 || list[0].PackedRows != nil {
		t.Errorf("three rows are sent as %d rows and %d packed bytes", len(list[0].Rows), len(list[0].PackedRows))
	}
}

// Hundreds of upstreams register, and VMs request changes after different versions; a removal
// among them expires meanwhile. Each VM must receive all rows after its version. A VM that got
// the packed rows cached for another version would miss rows without noticing.
func TestPackedChangesAreComplete(t *testing.T) {
	table := registrations(200)
	table.Apply(start, replica.Delta{From: 200, To: replica.Head{Table: "targets", Version: 201}, Rows: []replica.Row{{Key: "i-0000000000", Version: 201, Removed: true}}})
	var packer wire.TablePacker
	for _, from := range []uint64{100, 150, 100, 50} {
		for _, now := range []time.Time{start, start.Add(time.Hour)} { // The removal has expired at the later time.
			d := table.Since(now, from)
			out := packer.FromReplicaDeltas([]replica.Delta{d})
			if out[0].PackedRows == nil {
				t.Fatalf("%d rows are sent unpacked", len(d.Rows))
			}
			got, err := wire.ReplicaDeltas(out)
			if err != nil {
				t.Fatal(err)
			}
			versions := func(rows []replica.Row) (list []uint64) {
				for _, r := range rows {
					list = append(list, r.Version)
				}
				slices.Sort(list)
				return list
			}
			if !slices.Equal(versions(got[0].Rows), versions(d.Rows)) {
				t.Errorf("after version %d: received rows of versions %v, want %v", from, versions(got[0].Rows), versions(d.Rows))
			}
			table.Apply(now, replica.Delta{From: 0, To: replica.Head{Table: "targets", Version: 201}})
		}
	}
}

// A table that was truncated or corrupted in transit must be rejected as a whole, or the
// VM would consider the missing upstreams removed.
func TestCorruptTableIsRejected(t *testing.T) {
	var packer wire.TablePacker
	good := packer.FromReplicaDeltas([]replica.Delta{registrations(100).Since(start, 0)})[0].PackedRows
	for name, data := range map[string][]byte{
		"truncated":  good[:len(good)/2],
		"not packed": []byte("no such thing"),
		"not rows":   replica.Pack([]byte("no rows either")),
	} {
		if got, err := wire.ReplicaDeltas([]*schema.ReplicaDelta{{Whole: true, PackedRows: data}}); err == nil {
			t.Errorf("%s: got %d deltas without an error", name, len(got))
		}
	}
}

func BenchmarkPackTable(b *testing.B) {
	list := []replica.Delta{registrations(900).Since(start, 0)}
	for b.Loop() {
		var packer wire.TablePacker
		packer.FromReplicaDeltas(list)
	}
}

// Guards against one message of 4 MiB whose packed rows take gigabytes.
func TestPackedValuesAreBoundTogether(t *testing.T) {
	const size = 16 << 20
	packed := replica.Pack(make([]byte, size))
	m := &schema.ReplicaDelta{To: &schema.ReplicaHead{Table: "targets", Version: 1}}
	for i := range 200 {
		m.Rows = append(m.Rows, &schema.ReplicaRow{Key: fmt.Sprint(i), Version: 1, Packed: packed})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := wire.ReplicaDeltas([]*schema.ReplicaDelta{m}); err == nil {
		t.Error("200 values of 16 MiB are accepted")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 1<<30 {
		t.Errorf("%d bytes were allocated", n)
	}
	m.Rows = m.Rows[:3]
	if _, err := wire.ReplicaDeltas([]*schema.ReplicaDelta{m}); err != nil {
		t.Errorf("three values of 16 MiB: %v", err)
	}
}
