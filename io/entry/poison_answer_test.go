package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a poison request that is cleared by responses which its upstreams send just
// before they crash.
func TestPoisonRequestAnsweredSometimesIsStopped(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	f.answerEvery = 2
	vms := poisonFleet(t, p, 3)
	floodPoison(vms, 0, 5*time.Second)
	f.requireStopped("answered every second time")
	f.requireCrashes()
}

// Guards against a poison request to which each upstream responds before it crashes, so that
// all requests but the cause are suspected.
func TestPoisonRequestAnsweredAlwaysIsStopped(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	f.answerEvery = 1
	vms := poisonFleet(t, p, 3)
	var wg sync.WaitGroup
	for i := range 600 {
		wg.Go(func() {
			<-time.After(time.Duration(i) * 8 * time.Millisecond)
			vms[i%len(vms)].served(fmt.Sprint("/get/", i), fmt.Sprint("innocent", i))
		})
	}
	floodPoison(vms, 0, 5*time.Second)
	wg.Wait()
	f.requireStopped("answered each time")
	f.requireCrashes()
}

// Guards against a poison request that is cleared by the 421 of another incarnation at the
// address.
func TestMisdirectedResponseDoesNotClear(t *testing.T) {
	p := poisonPlatform()
	var reused atomic.Bool
	u := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if reused.Load() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		panic(http.ErrAbortHandler) // The connection is closed without a response.
	})
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	v.ask(poisonPath, "poison")
	<-time.After(700 * time.Millisecond)
	reused.Store(true)
	v.ask("/get/other", "other")
	eventually(t, "the request under which the upstream crashed is suspected", func() bool {
		return v.Figures(time.Now()).Poison.Suspects == 1
	})
}

// Guards against suspicion when connections are cut but the upstream lives.
func TestCutConnectionsAreNotSuspected(t *testing.T) {
	p := poisonPlatform()
	var mu sync.Mutex
	cuts := 0
	for i := range 4 {
		register(p, fmt.Sprint("i-", i), startUpstream(t, func(_ http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if cuts < 12 {
				cuts++
				panic(http.ErrAbortHandler)
			}
		}).addr())
	}
	v := startVM(t, "a", p, nil)
	ready(t, v)
	if !v.served("/get/1", "cut") {
		t.Error("a request whose connections were cut twelve times was not served by live upstreams")
	}
	if n := cuts; n < 12 {
		t.Errorf("its connection was cut %d times, so this test is inconclusive", n)
	}
}
