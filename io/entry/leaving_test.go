package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/target"
	"auburnlatch/io/entry"
)

// leavingUpstream sets Leaving in each response once leave was called.
type leavingUpstream struct {
	*upstreamServer
	mu       sync.Mutex
	leaving  bool
	notified map[string]time.Time // By VM, the time of its first response with Leaving.
	late     []string             // Requests after LeaveWithin.
}

func startLeaving(t *testing.T, within time.Duration) *leavingUpstream {
	u := &leavingUpstream{notified: make(map[string]time.Time)}
	u.upstreamServer = startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		vm, _, _ := strings.Cut(id, "/")
		u.mu.Lock()
		defer u.mu.Unlock()
		if !u.leaving {
			return
		}
		if first := u.notified[vm]; !first.IsZero() && time.Since(first) > within {
			u.late = append(u.late, id)
		}
		if u.notified[vm].IsZero() {
			u.notified[vm] = time.Now()
		}
		w.Header().Set("Leaving", "1")
	})
	return u
}

func (u *leavingUpstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

func (u *leavingUpstream) seen() (notified int, late []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.notified), u.late
}

// Guards against requests to an upstream whose responses say that it is leaving while the
// registry does not.
func TestNoRequestsAfterLeavingHeader(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	const within = 2 * time.Second
	u := startLeaving(t, within)
	register(p, "leaves", u.addr())
	other := startUpstream(t, func(http.ResponseWriter, *http.Request) {})
	register(p, "stays", other.addr())
	vms, stop := callTwoVMs(t, p)
	defer stop()
	<-time.After(300 * time.Millisecond)
	p.setUnavailable(true)
	u.leave()
	eventually(t, "a VM is notified", func() bool { notified, _ := u.seen(); return notified > 0 })
	<-time.After(within + time.Second)
	if _, late := u.seen(); len(late) > 0 {
		t.Errorf("%d requests later than %v after the upstream had set Leaving, the first is %s", len(late), within, late[0])
	}
	p.setUnavailable(false)
	p.remove(entry.TableTargets, "leaves")
	<-time.After(500 * time.Millisecond)
	p.set(entry.TableTargets, "leaves", target.Registration{Service: "s", Addr: u.addr(), Zone: "z", Slots: 8})
	<-time.After(time.Second)
	if _, late := u.seen(); len(late) > 0 {
		t.Errorf("%d requests after its row was registered again", len(late))
	}
	if status := vms[0].object(t, "a/last", "1"); status != 200 {
		t.Errorf("the upstream that stays: %d", status)
	}
	if other.runs("a/last") != 1 {
		t.Error("the last request did not run at the upstream that stays")
	}
}
