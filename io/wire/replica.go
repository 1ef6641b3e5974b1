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

// Heads maps the heads of replicas, by the table's name.
func Heads(list []*schema.ReplicaHead) map[string]replica.Head {
	heads := make(map[string]replica.Head, len(list))
	for _, m := range list {
		heads[m.GetTable()] = head(m)
	}
	return heads
}

func head(m *schema.ReplicaHead) replica.Head {
	return replica.Head{
		Table: m.GetTable(), Version: m.GetVersion(), Era: m.GetEra(), NoEra: m == nil || m.Era == nil, Content: m.GetContent(), Digest: m.GetDigest(), WantsWhole: m.GetWantsWhole(), Age: time.Duration(m.GetAgeMillis()) * time.Millisecond, VerifiedAge: verifiedAge(m.GetSureAgeMillis()),
	}
}

// verifiedAge maps the age of a verification in milliseconds. An age that is absent or out of
// range means that the replica was never verified.
func verifiedAge(millis int64) time.Duration {
	if millis <= 0 || millis >= lease.Never.Milliseconds() {
		return lease.Never
	}
	return time.Duration(millis) * time.Millisecond
}

// FromHeads maps the heads of replicas.
func FromHeads(heads map[string]replica.Head) []*schema.ReplicaHead {
	list := make([]*schema.ReplicaHead, 0, len(heads))
	for _, h := range heads {
		list = append(list, fromHead(h))
	}
	return list
}

func fromHead(h replica.Head) *schema.ReplicaHead {
	m := &schema.ReplicaHead{Table: h.Table, Version: h.Version, Era: &h.Era, Content: h.Content, Digest: h.Digest, WantsWhole: h.WantsWhole, AgeMillis: h.Age.Milliseconds()}
	if h.VerifiedAge > 0 && h.VerifiedAge < lease.Never {
		m.SureAgeMillis = lease.Millis(h.VerifiedAge)
	}
	return m
}

// maxUnpackedValues is how many bytes the packed values of one message may have. Only long values
// are packed, which is a configuration of some hundred KB as a rule.
const maxUnpackedValues = 64 << 20

// ReplicaDeltas maps deltas of tables. It returns an error if a row is corrupt, or if the values
// of all are too long.
func ReplicaDeltas(list []*schema.ReplicaDelta) ([]replica.Delta, error) {
	out := make([]replica.Delta, 0, len(list))
	unpacked := 0
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
				if unpacked += len(row.Value); unpacked > maxUnpackedValues {
					return nil, errors.Newf("packed rows: values longer than %d bytes", maxUnpackedValues)
				}
			}
			d.Rows = append(d.Rows, row)
		}
		out = append(out, d)
	}
	return out, nil
}

// FromReplicaDeltas maps deltas of tables.
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

// minPackedRows is the number of rows from which on a delta is sent packed. Fewer rows fit
// into a few packets.
const minPackedRows = 16

// maxPackedDeltas is how many packed deltas are cached per version of a table.
const maxPackedDeltas = 16

// TablePacker maps deltas, compresses ("packs") those of many rows, and caches the packed
// rows: when all VMs start at once, or hundreds of upstreams register, scores of VMs request
// the same rows from one VM. 900 upstreams are 225 KB, of which 60 copies take five seconds
// on a link of 20 Mbit/s, longer than the clients' timeout; packed they are a tenth of that.
// A TablePacker serves the replicas of one VM. The zero value is ready to use. It is safe for
// concurrent use.
type TablePacker struct {
	mu     sync.Mutex
	tables map[string]packedTable
}

// packedTable caches packed deltas of a table in the state after a number of changes.
type packedTable struct {
	changes uint64
	rows    map[packedKey][]byte
}

// packedKey identifies a delta of a table in one state. A delta that is not whole has all
// rows from a version on. The number of rows is part of the key, as the expiry of removals
// reduces it without counting as a change.
type packedKey struct {
	whole  bool
	oldest uint64
	rows   int
}

func newPackedKey(d replica.Delta) packedKey {
	key := packedKey{whole: d.Whole, oldest: math.MaxUint64, rows: len(d.Rows)}
	for _, r := range d.Rows {
		key.oldest = min(key.oldest, r.Version)
	}
	return key
}

// FromReplicaDeltas maps deltas of tables like the function of that name, and packs those
// of many rows.
func (p *TablePacker) FromReplicaDeltas(list []replica.Delta) []*schema.ReplicaDelta {
	out := FromReplicaDeltas(list)
	for i, d := range list {
		if len(d.Rows) < minPackedRows {
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
	key := newPackedKey(d)
	t, ok := p.tables[d.To.Table]
	if known := t.rows[key]; ok && t.changes == d.Changes && known != nil {
		return known
	}
	data, err := proto.Marshal(&schema.ReplicaDelta{Rows: rows})
	if err != nil {
		return nil // Only a key that is not UTF-8 fails; the rows are then sent unpacked.
	}
	packed := replica.Pack(data)
	if packed == nil {
		return nil
	}
	if p.tables == nil {
		p.tables = make(map[string]packedTable)
	}
	if !ok || t.changes != d.Changes || len(t.rows) >= maxPackedDeltas {
		t = packedTable{changes: d.Changes, rows: make(map[packedKey][]byte)}
		p.tables[d.To.Table] = t
	}
	t.rows[key] = packed
	return packed
}

// unpackRows returns a delta's rows, unpacked if necessary.
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
