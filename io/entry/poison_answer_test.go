package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that is cleared by the answers which its upstreams give as they
// end.
func TestPoisonRequestThatIsAnsweredIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	h.answerEvery = 2
	vms := poisonFleet(t, p, 3)
	storm(vms, 0, 5*time.Second)
	h.mustStop("answered every second time")
	h.mustHaveEnded()
}

// Guards against a request that each upstream answers before it ends, so that all but the
// cause is suspected.
func TestPoisonRequestThatIsAlwaysAnsweredIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	h.answerEvery = 1
	vms := poisonFleet(t, p, 3)
	var wg sync.WaitGroup
	for i := range 600 {
		wg.Go(func() {
			<-time.After(time.Duration(i) * 8 * time.Millisecond)
			vms[i%len(vms)].served(fmt.Sprint("/get/", i), fmt.Sprint("innocent", i))
		})
	}
	storm(vms, 0, 5*time.Second)
	wg.Wait()
	h.mustStop("answered each time")
	h.mustHaveEnded()
}

// Guards against a request that is cleared by the 421 of another incarnation at the address.
func TestAnswerOfAnotherIncarnationClearsNobody(t *testing.T) {
	p := poisonPlatform()
	var reused atomic.Bool
	u := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if reused.Load() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		panic(http.ErrAbortHandler) // The connection ends without an answer.
	})
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	v.ask(poisonPath, "poison")
	<-time.After(700 * time.Millisecond)
	reused.Store(true)
	v.ask("/get/other", "other")
	eventually(t, "the end is held against the request under which it came", func() bool {
		return v.Figures(time.Now()).Poison.Suspects == 1
	})
}

// Guards against suspicion for connections that break off while the upstream lives.
func TestPoisonIsNotSuspectedWhereOnlyConnectionsEnd(t *testing.T) {
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
		t.Error("a request whose connections broke off twelve times was not served by upstreams that live")
	}
	if n := cuts; n < 12 {
		t.Errorf("its connection broke off %d times, so this test says nothing", n)
	}
}
