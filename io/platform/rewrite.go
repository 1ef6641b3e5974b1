package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"auburnlatch/core/claim"
	"auburnlatch/io/wire"
)

// rewriter writes again the claims that a restored platform has lost.
type rewriter struct {
	claims *Claims
	mu     sync.Mutex
	active bool
	wait   sync.WaitGroup
}

// start starts run unless it is active.
func (r *rewriter) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active {
		return
	}
	r.active = true
	r.wait.Add(1)
	go r.run()
}

// rewriteRetryPause is the pause between two attempts to write the lost claims again.
const rewriteRetryPause = 200 * time.Millisecond

// run writes until no claims are lost.
func (r *rewriter) run() {
	defer r.wait.Done()
	for {
		r.mu.Lock()
		lost := r.claims.memory.Lost(time.Now())
		r.active = len(lost) > 0
		r.mu.Unlock()
		if len(lost) == 0 {
			return
		}
		failed := r.writeAll(lost)
		if failed {
			time.Sleep(rewriteRetryPause)
		}
	}
}

// writeAll writes claims again, in batches, and reports whether any has to be written once
// more.
func (r *rewriter) writeAll(lost []claim.Written) (failed bool) {
	for part := range slices.Chunk(lost, maxBatch) {
		var wait sync.WaitGroup
		results := make([]bool, len(part))
		for i, w := range part {
			wait.Go(func() { results[i] = r.writeOne(w) })
		}
		wait.Wait()
		failed = failed || slices.Contains(results, false)
	}
	return failed
}

// writeOne writes a claim again unless the table has it, and reports whether that is settled.
// A row of another attempt stays if the operation was claimed anew. A tombstone of one, which
// has run nothing, is replaced.
func (r *rewriter) writeOne(w claim.Written) (settled bool) {
	c := r.claims
	for on := claim.Version(0); ; {
		res, err := c.write(context.Background(), w.Key, claim.Action{If: on, Row: w.Row})
		if err != nil {
			c.memory.Forget(w)
			return true
		}
		switch res.Outcome {
		case claim.Applied:
			c.memory.Remember(time.Now(), claim.Written{Key: w.Key, Row: w.Row, Version: claim.Version(res.Version), Era: res.Era})
			return true
		case claim.Conflict:
			on = claim.Version(res.Row.Version)
			if on == 0 {
				continue
			}
			row, err := wire.ClaimRow(res.Row.Value)
			switch own := row.Attempt == w.Row.Attempt; {
			case err == nil && !own && row.State == claim.Claimed:
				return false // It may be doubtful, and about to be released.
			case err != nil || !own && row.State != claim.Tombstone:
				c.memory.Forget(w)
				return true
			case own && row.State == w.Row.State:
				c.memory.Remember(time.Now(), claim.Written{Key: w.Key, Row: w.Row, Version: on, Era: res.Era})
				return true
			}
		default:
			return false
		}
	}
}
