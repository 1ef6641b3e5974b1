package platform

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/claim"
)

// maxBatch is the maximum number of writes in one transaction.
const maxBatch = 64

// Committer is the part of a Client that a Batcher needs.
type Committer interface {
	Commit(ctx context.Context, writes []Write) (CommitResult, error)
}

// Batcher combines writes of many requests into shared transactions: while a
// transaction is in flight, new writes wait and are sent together in the next
// one. So a single write does not wait, and the table never gets more than one
// transaction at a time. If a row conflicts, only its write fails; the others
// are sent again without it. It is safe for concurrent use.
type Batcher struct {
	table Committer

	mu      sync.Mutex
	waiting []*pending
	running bool
	wg      sync.WaitGroup
}

type pending struct {
	write Write
	done  chan WriteResult
}

// WriteResult is the result of one write.
type WriteResult struct {
	Outcome claim.Outcome
	// Version is the row's version after the write, if it was applied.
	Version uint64
	// Row is the row in the table, if the write conflicted with it.
	Row Row
	// Era is the era of the table in which it was applied; see CommitResult.
	Era uint64
}

// NewBatcher returns a batcher of writes to the table.
func NewBatcher(table Committer) *Batcher { return &Batcher{table: table} }

// Write writes one row and returns the result. If ctx is done first, the outcome
// is Unknown, as the write may be in flight.
func (b *Batcher) Write(ctx context.Context, w Write) WriteResult {
	p := &pending{write: w, done: make(chan WriteResult, 1)}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	if !b.running {
		b.running = true
		b.wg.Add(1)
		go b.run()
	}
	b.mu.Unlock()
	select {
	case r := <-p.done:
		return r
	case <-ctx.Done():
		return WriteResult{Outcome: claim.Unknown}
	}
}

// Wait blocks until no transaction is in flight.
func (b *Batcher) Wait() { b.wg.Wait() }

// run commits waiting writes until there are none.
func (b *Batcher) run() {
	defer b.wg.Done()
	for {
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		b.commit(batch)
	}
}

// nextBatch removes and returns the next batch, or returns nil if no write waits.
// It contains each row once, as two writes of a row in one transaction would have
// to be ordered.
func (b *Batcher) nextBatch() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pending
	seen := make(map[string]bool)
	for _, p := range b.waiting {
		if len(batch) == maxBatch || seen[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		seen[p.write.Key] = true
		batch = append(batch, p)
	}
	b.waiting = rest
	if len(batch) == 0 {
		b.running = false
	}
	return batch
}

// commit sends a batch until each of its writes has a result.
func (b *Batcher) commit(batch []*pending) {
	for len(batch) > 0 {
		writes := make([]Write, len(batch))
		for i, p := range batch {
			writes[i] = p.write
		}
		// The batch has writes of several requests, so it does not use the ctx
		// of one of them. The client's timeout limits the call.
		res, err := b.table.Commit(context.Background(), writes)
		if err != nil || len(res.Conflicts) == 0 {
			finish(batch, res, err)
			return
		}
		batch = failConflicts(batch, res.Conflicts)
	}
}

func finish(batch []*pending, res CommitResult, err error) {
	r := WriteResult{Outcome: claim.Applied, Version: res.Version, Era: res.Era}
	if err != nil {
		r = WriteResult{Outcome: claim.NotSent}
		var e *Error
		if !errors.As(err, &e) || e.Sent {
			r.Outcome = claim.Unknown
		}
	}
	for _, p := range batch {
		p.done <- r
	}
}

// failConflicts completes the conflicting writes and returns the others.
func failConflicts(batch []*pending, conflicts []Row) []*pending {
	found := make(map[string]Row, len(conflicts))
	for _, row := range conflicts {
		found[row.Key] = row
	}
	var rest []*pending
	for _, p := range batch {
		if row, ok := found[p.write.Key]; ok {
			p.done <- WriteResult{Outcome: claim.Conflict, Row: row, Era: row.Era}
		} else {
			rest = append(rest, p)
		}
	}
	if len(rest) == len(batch) {
		// The reply is invalid, as all conflicts are on rows that were not
		// written. Retrying would never end.
		finish(batch, CommitResult{}, errors.New("conflicts on rows outside the transaction"))
		return nil
	}
	return rest
}
