package platform

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"auburnlatch/core/claim"
)

// fakeTable is an in-memory table that runs commits one after the other, each
// taking some time, like a service with a limited number of writes per second.
type fakeTable struct {
	mu      sync.Mutex
	took    time.Duration
	rows    map[string]uint64
	version uint64
	commits int
	err     error
	gate    chan struct{} // If set, commits wait until it is closed.
}

func (f *fakeTable) Commit(_ context.Context, writes []Write) (CommitResult, error) {
	if f.gate != nil {
		<-f.gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.took > 0 {
		<-time.After(f.took)
	}
	f.commits++
	if f.err != nil {
		return CommitResult{}, f.err
	}
	var res CommitResult
	for _, w := range writes {
		if f.rows[w.Key] != w.If {
			res.Conflicts = append(res.Conflicts, Row{Key: w.Key, Version: f.rows[w.Key]})
		}
	}
	if len(res.Conflicts) > 0 {
		return res, nil
	}
	f.version++
	for _, w := range writes {
		f.rows[w.Key] = f.version
	}
	res.Version = f.version
	return res, nil
}

// Several writes share a transaction and one of them conflicts, so that the table
// rejects the whole transaction. The other writes must be applied all the same.
func TestConflictFailsOnlyItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &fakeTable{rows: map[string]uint64{"taken": 7}, version: 7, gate: make(chan struct{})}
		b := NewBatcher(table)
		results := make([]WriteResult, 5)
		keys := []string{"first", "a", "taken", "b", "c"}
		var wg sync.WaitGroup
		for i, key := range keys {
			wg.Go(func() { results[i] = b.Write(context.Background(), Write{Key: key}) })
			// The first is in flight alone; the others wait and are sent together.
			synctest.Wait()
		}
		close(table.gate)
		wg.Wait()
		for i, key := range keys {
			want := claim.Applied
			if key == "taken" {
				want = claim.Conflict
			}
			if got := results[i].Outcome; got != want {
				t.Errorf("%s: outcome = %v, want %v", key, got, want)
			}
		}
		if got := results[2].Row.Version; got != 7 {
			t.Errorf("the conflicting row has version %d, want 7", got)
		}
		if table.commits != 3 {
			t.Errorf("%d commits, want 3: the first write alone, the others, the others without the conflict", table.commits)
		}
	})
}

func TestBatchOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want claim.Outcome
	}{
		{"applied", nil, claim.Applied},
		{"not sent", &Error{Sent: false, Err: io.EOF}, claim.NotSent},
		{"response lost", &Error{Sent: true, Err: io.EOF}, claim.Unknown},
		{"error of another type", io.EOF, claim.Unknown},
	} {
		b := NewBatcher(&fakeTable{rows: map[string]uint64{}, err: tc.err})
		if got := b.Write(context.Background(), Write{Key: "k"}); got.Outcome != tc.want {
			t.Errorf("%s: outcome = %v, want %v", tc.name, got.Outcome, tc.want)
		}
	}
}

// BenchmarkClaims compares claims that share transactions with claims that do
// not, on a table that takes 400 commits/s and with 64 concurrent claims.
func BenchmarkClaims(b *testing.B) {
	const perCommit = 2500 * time.Microsecond
	const atOnce = 64
	for _, shared := range []bool{true, false} {
		b.Run(fmt.Sprintf("Shared=%t", shared), func(b *testing.B) {
			table := &fakeTable{rows: map[string]uint64{}, took: perCommit}
			batcher := NewBatcher(table)
			var next sync.Mutex
			n := 0
			var took time.Duration
			var wg sync.WaitGroup
			work := func() {
				defer wg.Done()
				for {
					next.Lock()
					n++
					i := n
					next.Unlock()
					if i > b.N {
						return
					}
					started := time.Now()
					w := Write{Key: fmt.Sprint(i)}
					if shared {
						batcher.Write(context.Background(), w)
					} else if _, err := table.Commit(context.Background(), []Write{w}); err != nil {
						b.Error(err)
					}
					next.Lock()
					took += time.Since(started)
					next.Unlock()
				}
			}
			b.ResetTimer()
			for range atOnce {
				wg.Add(1)
				go work()
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(table.commits)/float64(b.N), "commits/claim")
			b.ReportMetric(took.Seconds()*1000/float64(b.N), "ms/claim")
		})
	}
}
