package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/io/entry"
)

// Guards against loads that are dropped in silence: one that cannot be read must be counted each
// time and logged once, and the request that it came with must be answered.
func TestUnreadableLoadIsCountedAndLoggedOnce(t *testing.T) {
	var load atomic.Pointer[string]
	u := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Load", *load.Load()) })
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	say := func(text string, n int) {
		load.Store(&text)
		for i := range n {
			if got := v.request(t, http.MethodGet, "/get/1", fmt.Sprint(text, i), ""); got.status != http.StatusOK {
				t.Fatalf("load %q: %+v", text, got)
			}
		}
	}
	say("1,0,4,100", 2)
	if n := v.Figures(time.Now()).LoadsUnreadable; n != 0 {
		t.Errorf("LoadsUnreadable = %d after loads that can be read", n)
	}
	say("1,0,many,100", 3)
	if n := v.Figures(time.Now()).LoadsUnreadable; n != 3 {
		t.Errorf("LoadsUnreadable = %d after three, want 3", n)
	}
	eventually(t, "the first is logged", func() bool { return v.logged("LoadUnreadable") > 0 })
	if n := v.logged("LoadUnreadable"); n != 1 {
		t.Errorf("%d lines LoadUnreadable, want 1", n)
	}
}

// logged returns the number of lines about an event.
func (v *runningVM) logged(event string) int {
	v.lines.mu.Lock()
	defer v.lines.mu.Unlock()
	return strings.Count(v.lines.buf.String(), "msg="+event)
}
