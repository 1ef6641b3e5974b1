package replica

import "time"

// Settled returns the rows as they are in force now, given that what a restored store has lost
// is written again within hold: until then a row that is missing since counts as present, and
// one that is there again after its removal as removed. pending reports whether there are such
// rows, so that the result changes with time alone.
func Settled(now time.Time, rows []Row, hold time.Duration) (settled []Row, pending bool) {
	settled = make([]Row, 0, len(rows))
	for _, r := range rows {
		if !r.RestoredAt.IsZero() && now.Sub(r.RestoredAt) < hold && r.Removed != r.WasRemoved {
			r.Removed, pending = r.WasRemoved, true
		}
		settled = append(settled, r)
	}
	return settled, pending
}
