package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/io/settings"
)

// All VMs restart under load. A request that reaches a VM while it reads its first copies must
// wait for them rather than be refused and retried half a second later. It must wait no longer
// than reading them usually takes, and not at all later on. The same holds for the bans: a
// poison request would otherwise get past them at each start.
func TestRequestWaitsForTheFirstCopies(t *testing.T) {
	for _, tc := range []struct {
		name                      string
		loaded, bans, after, want time.Duration
	}{
		{"copies arrive", 200 * time.Millisecond, 100 * time.Millisecond, 0, 200 * time.Millisecond},
		{"copies do not arrive", time.Minute, 100 * time.Millisecond, 0, maxStartWait},
		{"late request", time.Minute, 100 * time.Millisecond, maxStartWait - 50*time.Millisecond, 50 * time.Millisecond},
		{"the platform has been unavailable since the start", time.Minute, time.Minute, time.Second, 0},
		{"bans arrive last", 200 * time.Millisecond, 300 * time.Millisecond, 0, 300 * time.Millisecond},
		{"bans do not arrive", 200 * time.Millisecond, time.Minute, 0, maxStartWait},
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
				<-time.After(2 * time.Minute) // All timers of the bubble have to fire before it ends.
			})
		})
	}
}
