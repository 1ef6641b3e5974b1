package replica

import "time"

// Settled returns the rows as they are in force now, given that rows which were lost when the
// platform's store was restored are written again within hold: until then removals after a
// gap do not count, nor do rows that are there again although they had been removed. pending
// reports whether there are such rows, so that the result changes with time alone.
func Settled(now time.Time, rows []Row, hold time.Duration) (settled []Row, pending bool) {
	settled = make([]Row, 0, len(rows))
	for _, r := range rows {
		switch {
		case r.Removed && r.AfterGap && now.Sub(r.RemovedAt) < hold:
			r.Removed, pending = false, true
		case !r.Removed && r.WasRemoved && now.Sub(r.RestoredAt) < hold:
			r.Removed, pending = true, true
		}
		settled = append(settled, r)
	}
	return settled, pending
}
