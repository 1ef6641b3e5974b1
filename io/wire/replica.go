package wire

import (
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/lease"
	"auburnlatch/core/replica"
	"auburnlatch/schema"
)

// Heads maps how far copies are, by the table's name.
func Heads(list []*schema.ReplicaHead) map[string]replica.Head {
	heads := make(map[string]replica.Head, len(list))
	for _, m := range list {
		heads[m.GetTable()] = head(m)
	}
	return heads
}

func head(m *schema.ReplicaHead) replica.Head {
	return replica.Head{
		Table: m.GetTable(), Version: m.GetVersion(), Age: time.Duration(m.GetAgeMillis()) * time.Millisecond, VerifiedAge: sureAge(m.GetSureAgeMillis()),
	}
}

// sureAge maps an age in milliseconds; without one, or with one that is out of range,
// nothing is sure.
func sureAge(millis int64) time.Duration {
	if millis <= 0 || millis >= lease.Never.Milliseconds() {
		return lease.Never
	}
	return time.Duration(millis) * time.Millisecond
}

// FromHeads maps how far copies are.
func FromHeads(heads map[string]replica.Head) []*schema.ReplicaHead {
	list := make([]*schema.ReplicaHead, 0, len(heads))
	for _, h := range heads {
		list = append(list, fromHead(h))
	}
	return list
}

func fromHead(h replica.Head) *schema.ReplicaHead {
	m := &schema.ReplicaHead{Table: h.Table, Version: h.Version, AgeMillis: h.Age.Milliseconds()}
	if h.VerifiedAge > 0 && h.VerifiedAge < lease.Never {
		m.SureAgeMillis = lease.Millis(h.VerifiedAge)
	}
	return m
}

// ReplicaDeltas maps what copies lack. An error says that a row is spoilt.
func ReplicaDeltas(list []*schema.ReplicaDelta) ([]replica.Delta, error) {
	out := make([]replica.Delta, 0, len(list))
	for _, m := range list {
		d := replica.Delta{From: m.GetFrom(), To: head(m.GetTo()), Whole: m.GetWhole(), FromPeer: true}
		rows, err := unpackRows(m)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			row := replica.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Packed: r.GetPacked(), Removed: r.GetRemoved(), AfterGap: r.GetAfterGap()}
			if len(row.Packed) > 0 {
				if row.Value, err = replica.Unpack(row.Packed); err != nil {
					return nil, err
				}
			}
			d.Rows = append(d.Rows, row)
		}
		out = append(out, d)
	}
	return out, nil
}

// FromReplicaDeltas maps what copies lack.
func FromReplicaDeltas(list []replica.Delta) []*schema.ReplicaDelta {
	out := make([]*schema.ReplicaDelta, 0, len(list))
	for _, d := range list {
		m := &schema.ReplicaDelta{From: d.From, To: fromHead(d.To), Whole: d.Whole}
		for _, r := range d.Rows {
			row := &schema.ReplicaRow{Key: r.Key, Version: r.Version, Removed: r.Removed, AfterGap: r.AfterGap}
			switch {
			case r.Removed:
			case len(r.Packed) > 0:
				row.Packed = r.Packed
			default:
				row.Value = r.Value
			}
			m.Rows = append(m.Rows, row)
		}
		out = append(out, m)
	}
	return out
}

// packRows is how many rows a delta has that travels packed: below it the rows fit a few
// packets.
const packRows = 16

// maxPacked is how many deltas of one state of a table are kept packed.
const maxPacked = 16

// TablePacker maps deltas of many rows so that they travel packed, and keeps what it has
// packed: where all VMs start at once, or hundreds of upstreams register, scores of them ask
// one VM for the same rows. 900 upstreams are 225 KB, of which 60 copies take a link of
// 20 Mbit/s five seconds, longer than those who ask wait; packed they are a tenth. The zero
// value is ready, for the deltas of one VM's copies. It is safe for concurrent use.
type TablePacker struct {
	mu     sync.Mutex
	tables map[string]packedTable
}

// packedTable has deltas of a table as of a number of changes.
type packedTable struct {
	changes uint64
	rows    map[packedKey][]byte
}

// packedKey tells the deltas of one state of a table apart: one that is not whole has all
// rows from a version on. Removals that are forgotten meanwhile are no change, and leave
// fewer rows.
type packedKey struct {
	whole  bool
	oldest uint64
	rows   int
}

func keyOfDelta(d replica.Delta) packedKey {
	key := packedKey{whole: d.Whole, oldest: math.MaxUint64, rows: len(d.Rows)}
	for _, r := range d.Rows {
		key.oldest = min(key.oldest, r.Version)
	}
	return key
}

// FromReplicaDeltas is the function of that name, with deltas of many rows packed.
func (p *TablePacker) FromReplicaDeltas(list []replica.Delta) []*schema.ReplicaDelta {
	out := FromReplicaDeltas(list)
	for i, d := range list {
		if len(d.Rows) < packRows {
			continue
		}
		if packed := p.pack(d, out[i].Rows); packed != nil {
			out[i].Rows, out[i].PackedRows = nil, packed
		}
	}
	return out
}

func (p *TablePacker) pack(d replica.Delta, rows []*schema.ReplicaRow) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := keyOfDelta(d)
	t, ok := p.tables[d.To.Table]
	if known := t.rows[key]; ok && t.changes == d.Changes && known != nil {
		return known
	}
	data, err := proto.Marshal(&schema.ReplicaDelta{Rows: rows})
	if err != nil {
		return nil // Only a key that is not UTF-8 does that: the rows then travel as they are.
	}
	packed := replica.Pack(data)
	if packed == nil {
		return nil
	}
	if p.tables == nil {
		p.tables = make(map[string]packedTable)
	}
	if !ok || t.changes != d.Changes || len(t.rows) >= maxPacked {
		t = packedTable{changes: d.Changes, rows: make(map[packedKey][]byte)}
		p.tables[d.To.Table] = t
	}
	t.rows[key] = packed
	return packed
}

// unpackRows returns a delta's rows, packed or not.
func unpackRows(m *schema.ReplicaDelta) ([]*schema.ReplicaRow, error) {
	if len(m.GetPackedRows()) == 0 {
		return m.GetRows(), nil
	}
	data, err := replica.Unpack(m.GetPackedRows())
	if err != nil {
		return nil, err
	}
	var rows schema.ReplicaDelta
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrap(err, "packed rows")
	}
	return rows.GetRows(), nil
}
