package upstream

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"auburnlatch/core/reach"
)

// fakeUpstreams are upstreams with which all probes have the same contact.
type fakeUpstreams struct {
	contact        atomic.Int32
	lost, regained int
}

func (f *fakeUpstreams) Probes(n int, _ func(string) bool) []Probe {
	list := make([]Probe, n)
	for i := range list {
		list[i] = func(context.Context, reach.Contact) reach.Contact { return reach.Contact(f.contact.Load()) }
	}
	return list
}

func (f *fakeUpstreams) LinksLost(context.Context, time.Time, int)           { f.lost++ }
func (f *fakeUpstreams) LinksRegained(context.Context, time.Time, time.Time) { f.regained++ }

// Guards against a VM without requests that finds that it is cut off as it judges a crash, and
// never checks again.
func TestLinksAreRegainedAfterConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{}
		l := NewLinks(f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.Loop(ctx)
		}()
		synctest.Wait()
		if l.Confirm(ctx, time.Now()) || !l.CutOff() || f.lost != 1 {
			t.Errorf("cut off: %v, found %d times", l.CutOff(), f.lost)
		}
		<-time.After(time.Second)
		f.contact.Store(int32(reach.Heard))
		<-time.After(time.Second)
		if l.CutOff() || f.regained != 1 {
			t.Errorf("a second after the links returned: cut off %v, regained %d times", l.CutOff(), f.regained)
		}
		checks := l.Checks()
		<-time.After(time.Minute)
		if n := l.Checks() - checks; n > 0 {
			t.Errorf("%d checks without any request", n)
		}
		cancel()
		<-done
	})
}
