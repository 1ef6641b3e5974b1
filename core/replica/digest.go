package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// emptyDigest is the digest of a table without rows, as 0 means that it is unknown.
const emptyDigest = 1

// healInterval is how long a replica that was read as a whole, since a peer had other rows, takes
// such a peer for the one that is wrong.
const healInterval = 10 * time.Second

// keyEnd separates the key from the meaning in what is hashed. No key has it.
const keyEnd = "\x00"

// sum returns the digest of a row, 0 if it is removed or there are no digests.
func (t *Table) sum(r *Row) uint64 {
	if t.meaning == nil || r.Removed {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(r.Key)
	_, _ = d.WriteString(keyEnd)
	_, _ = d.Write(t.meaning(r.Key, r.Value))
	return d.Sum64()
}

// ahead reports whether the replica has rows that are newer than its version: a table that is
// read in pages may change between them.
func (t *Table) ahead() bool { return t.newestRow > t.version }

// matches reports whether the rows will be as the delta's sender has them once it is applied. It
// does not know without a digest, as of earlier builds, and then reports true.
func (t *Table) matches(now time.Time, d Delta) bool {
	if d.To.Digest == 0 || t.meaning == nil || t.digestAfter(d) == d.To.Digest {
		return true
	}
	if d.To.Version > t.version || t.ahead() {
		t.mismatches.Gaps++
		t.wantsWhole = true
		return false
	}
	t.mismatches.Differing++
	t.differs = t.differs || t.healed.IsZero() || now.Sub(t.healed) > healInterval
	return false
}

// digestAfter returns the digest that the rows will have once a delta has been applied.
func (t *Table) digestAfter(d Delta) uint64 {
	digest := t.digest
	for i := range d.Rows {
		r := &d.Rows[i]
		old := t.rows[r.Key]
		if old != nil && r.Version <= old.version {
			continue
		}
		if old != nil {
			digest -= old.sum
		}
		digest += t.sum(r)
	}
	return digest
}

// Differs reports whether a peer had other rows at the same version. One of the two is wrong, so
// that the table has to be read from the platform as a whole.
func (t *Table) Differs() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.differs
}

// Mismatches counts the deltas that had no effect as the rows would have differed from the
// sender's.
type Mismatches struct {
	// Gaps are those that lacked a change, and Differing those of a peer at the same version.
	Gaps, Differing int64
}

// Mismatches returns the counts so far.
func (t *Table) Mismatches() Mismatches {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mismatches
}
