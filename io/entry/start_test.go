package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/io/settings"
)

// All VMs start anew under load. A request that reaches a VM while it reads its first
// copies used to be refused and came back half a second later. It waits for them, no
// longer than they usually take, and not at all later on. The bans are among them: a
// request that ends upstreams would else get past them at each start.
func TestRequestWaitsForTheFirstCopies(t *testing.T) {
	for _, tc := range []struct {
		name                      string
		loaded, bans, after, want time.Duration
	}{
		{"they come", 200 * time.Millisecond, 100 * time.Millisecond, 0, 200 * time.Millisecond},
		{"they do not come", time.Minute, 100 * time.Millisecond, 0, holdAtStart},
		{"the request came late", time.Minute, 100 * time.Millisecond, holdAtStart - 50*time.Millisecond, 50 * time.Millisecond},
		{"the platform has been away since the start", time.Minute, time.Minute, time.Second, 0},
		{"bans come last", 200 * time.Millisecond, 300 * time.Millisecond, 0, 300 * time.Millisecond},
		{"bans do not come", 200 * time.Millisecond, time.Minute, 0, holdAtStart},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := New(&settings.Entry{Name: "a"}, nil, Protocol{}, logrus.NewEntry(logrus.New()))
				time.AfterFunc(tc.loaded, func() { close(v.loaded) })
				time.AfterFunc(tc.bans, v.guard.Ledger().SetSynced)
				<-time.After(tc.after)
				began := time.Now()
				v.awaitCopies(context.Background(), began)
				if got := time.Since(began); got != tc.want {
					t.Errorf("it waited %v, want %v", got, tc.want)
				}
				<-time.After(2 * time.Minute) // The bubble ends with its timers.
			})
		})
	}
}
