package quarantine

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
	"auburnlatch/io/upstream"
)

// brokenLinks are a VM's links that return at a time. Until then every connection is refused.
type brokenLinks struct {
	returnAt time.Time
	// found is what a probe finds then.
	found upstream.Listening
}

func (l *brokenLinks) Listens(context.Context, string, time.Duration) upstream.Listening {
	if time.Now().Before(l.returnAt) {
		return upstream.Refuses
	}
	return l.found
}

func (l *brokenLinks) CutOff() bool { return time.Now().Before(l.returnAt) }

func (l *brokenLinks) Confirm(context.Context, time.Time) bool { return !l.CutOff() }

func (l *brokenLinks) Await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(l.returnAt)):
	}
}

// Guards against a VM that takes its lost links for the crash of an upstream, and against one
// that misses a crash because its links were lost at that time.
func TestCrashIsJudgedWhenLinksAreBack(t *testing.T) {
	for _, tc := range []struct {
		name     string
		found    upstream.Listening
		back     time.Duration
		suspects int
	}{
		{"the upstream still refuses connections", upstream.Refuses, 5 * time.Second, 1},
		{"the upstream accepts connections", upstream.Listens, 5 * time.Second, 0},
		{"the links stay lost", upstream.Refuses, time.Hour, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				links := &brokenLinks{returnAt: time.Now().Add(tc.back), found: tc.found}
				g := New("a", zone{"a"}, &memoryStore{}, links, logrus.NewEntry(log), WithLinks(links))
				req := poison.NewRequest(poison.Content{Method: "GET", URI: "/1"})
				sent := Attempt{Upstream: Upstream{ID: "i-1", Addr: "10.0.0.1:1"}, Began: time.Now()}
				<-time.After(50 * time.Millisecond)
				g.Unanswered(t.Context(), time.Now(), req, sent, verdict.Wrap(syscall.ECONNRESET, verdict.MaybeRan, verdict.ReasonBroken, 0))
				<-time.After(4 * time.Second)
				if n := g.Ledger().Counts().Suspects; n != 0 {
					t.Errorf("%d requests are suspected while the links are lost", n)
				}
				<-time.After(2 * time.Minute)
				if n := g.Ledger().Counts().Suspects; n != tc.suspects {
					t.Errorf("%d requests are suspected in the end, want %d", n, tc.suspects)
				}
			})
		})
	}
}
