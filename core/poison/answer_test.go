package poison_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/poison"
)

// Guards against a suspect that is cleared by a response that proves nothing about the crashes
// counted against it.
func TestAnswersThatClearSuspicion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		began   int // Milliseconds; the upstreams crash at 1000 and 1010, the response comes at 1050.
		then    func(l *poison.Ledger)
		suspect bool
	}{
		{"began after the crashes, upstream survives", 1020, func(l *poison.Ledger) { l.NotCrashed(at(1150), "i-9", true) }, false},
		{"upstream crashes as it responds", 1020, func(l *poison.Ledger) { l.Crashed(at(1150), "i-9") }, true},
		{"upstream had crashed", 1020, func(l *poison.Ledger) { l.Crashed(at(1040), "i-9") }, true},
		{"upstream does not answer the probe", 1020, func(l *poison.Ledger) { l.NotCrashed(at(1150), "i-9", false) }, true},
		{"upstream is probed too early", 1020, func(l *poison.Ledger) { l.NotCrashed(at(1060), "i-9", true) }, true},
		{"began before the crashes", 900, func(l *poison.Ledger) { l.NotCrashed(at(1150), "i-9", true) }, true},
		{"began between the crashes", 1005, func(l *poison.Ledger) { l.NotCrashed(at(1150), "i-9", true) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.NewLedger()
			crash(l, 1000, "i-1", "a")
			crash(l, 1010, "i-2", "a")
			l.Served(at(1050), poison.Run{Print: printOf("a"), Target: "i-9", Began: at(tt.began), Ended: at(1050)})
			tt.then(l)
			if got := l.Knows(printOf("a").Head); got != tt.suspect {
				t.Errorf("suspected: %t, want %t", got, tt.suspect)
			}
		})
	}
}

// Guards against a poison request that is never counted as a cause, since its upstreams respond
// just before they crash.
func TestAnswersBeforeACrashCountAsCrashes(t *testing.T) {
	l := poison.NewLedger()
	crash(l, 100, "i-0", "killer")
	for i := range 3 {
		ms, target := 1000*(i+1), fmt.Sprint("i-", i+1)
		trial, refused := l.Admit(at(ms), printOf("killer"))
		if refused != nil {
			t.Fatalf("run %d is rejected: %v", i, refused)
		}
		if i >= 1 && !trial.Alone {
			t.Errorf("run %d, after %d crashes, is not an exclusive trial", i, i+1)
		}
		l.Served(at(ms+30), poison.Run{Print: printOf("killer"), Target: target, Began: at(ms), Ended: at(ms + 30), Alone: trial.Alone})
		trial.Done()
		l.Crashed(at(ms+130), target)
	}
	l.Tick(at(5000))
	if !banned(l, 5000, "killer") {
		t.Error("a request whose upstreams crash right after they answer it is not banned")
	}
}

// Guards against VMs that learn of a response and clear the suspect of crashes that came after
// it.
func TestPropagatedAnswersClearOfEarlierCrashesOnly(t *testing.T) {
	a, b := poison.NewLedger(), poison.NewLedger()
	crash(a, 1000, "i-1", "a")
	b.MergeNews(at(1030), a.TakeNews())
	crash(b, 1500, "i-2", "a")
	answerAndSurvive(a, 1300, "a") // Its run began at 1200.
	if a.Knows(printOf("a").Head) {
		t.Fatal("the VM that saw the response suspects the request")
	}
	b.MergeNews(at(1600), a.TakeNews())
	if got := b.Counts().Suspects; got != 1 {
		t.Errorf("the other VM has %d suspects, want the one with a crash after the response", got)
	}
	trial, _ := b.Admit(at(1700), printOf("a"))
	if trial == nil || trial.Alone {
		t.Errorf("one crash is left after the response: got trial %+v, want one that is not exclusive", trial)
	}
}

// Guards against a ban that is lifted by a response from before the crashes that it is based
// on.
func TestAnswersFromBeforeTheCrashesLiftNoBan(t *testing.T) {
	for _, tt := range []struct {
		name   string
		began  int // Milliseconds; the last crash is at 900.
		banned bool
	}{
		{"began before the last crash", 850, true},
		{"began after the last crash", 950, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.NewLedger()
			for i := range 3 {
				crash(l, 300*(i+1), fmt.Sprint("i-", i), "a")
			}
			l.Tick(at(2000))
			if !banned(l, 2000, "a") {
				t.Fatal("not banned after three consecutive crashes")
			}
			l.Served(at(2100), poison.Run{Print: printOf("a"), Target: "i-9", Began: at(tt.began), Ended: at(2100)})
			l.NotCrashed(at(2200), "i-9", true)
			if got := banned(l, 2300, "a"); got != tt.banned {
				t.Errorf("banned: %t, want %t", got, tt.banned)
			}
		})
	}
}

// Guards against responses that are kept forever because no probe tells whether their upstream
// survived.
func TestUnconfirmedAnswersExpire(t *testing.T) {
	l := poison.NewLedger()
	crash(l, 1000, "i-1", "a")
	run := poison.Run{Print: printOf("a"), Target: "i-9", Began: at(1010), Ended: at(1050)}
	if !l.Served(at(1050), run) {
		t.Error("no probe is asked for")
	}
	if l.Served(at(1060), run) {
		t.Error("a second probe is asked for while the first is pending")
	}
	later := at(1050).Add(time.Minute)
	l.Tick(later)
	run.Began, run.Ended = later, later
	if !l.Served(later, run) {
		t.Error("no probe is asked for a minute later")
	}
}

// Guards against a ban of a request while a probe is to find out whether the upstream survived
// its response.
func TestNoBanWhileAnAnswerIsUnconfirmed(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		crash(l, 300*(i+1), fmt.Sprint("i-", i), "a")
	}
	answer(l, 1290, "a") // Sent by a VM that had not learned of the crashes yet.
	l.Tick(at(1400))
	if banned(l, 1400, "a") {
		t.Error("banned after a response and before the probe of its upstream")
	}
	l.NotCrashed(at(1400), "lives", true)
	l.Tick(at(1500))
	if l.Knows(printOf("a").Head) {
		t.Error("suspected though it was answered after all crashes")
	}
}

// Guards against a poison request that crashes upstreams in ordinary trials again and again, since
// each answers it before it crashes.
func TestAnsweredRunsLeadToExclusiveTrials(t *testing.T) {
	l := poison.NewLedger()
	l.ServedUnsuspected(poison.Run{Target: "i-0", Began: at(100), Ended: at(180)}, requestOf("killer"))
	crash(l, 200, "i-0", "bystander")
	sent := 0
	for ; !banned(l, 1000*(sent+1), "killer") && sent < 10; sent++ {
		ms, target := 1000*(sent+1), fmt.Sprint("i-", sent+1)
		trial, refused := l.Admit(at(ms), printOf("killer"))
		if refused != nil {
			t.Fatalf("run %d is rejected: %v", sent, refused)
		}
		l.Served(at(ms+30), poison.Run{Print: printOf("killer"), Target: target, Began: at(ms), Ended: at(ms + 30), Alone: trial.Alone})
		trial.Done()
		l.Crashed(at(ms+130), target)
		l.Tick(at(ms + 900))
	}
	if sent != 4 {
		t.Errorf("banned after %d runs in trials, want one ordinary trial and three exclusive ones", sent)
	}
}

// Guards against a poison request that is never suspected, since each upstream answers it
// before it crashes.
func TestAnsweredRequestsAreSuspectedOfCrashes(t *testing.T) {
	for _, tt := range []struct {
		name         string
		answered     int // Milliseconds; the first sign of the crash is seen at 200.
		body, target string
		suspect      bool
	}{
		{"just before the crash", 180, "", "i-1", true},
		{"well before the crash", 90, "", "i-1", false},
		{"by another upstream", 180, "", "i-2", false},
		{"with a body too long to keep", 180, strings.Repeat("x", 5000), "i-1", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.NewLedger()
			req := poison.NewRequest(poison.Content{URI: "/killer", Body: []byte(tt.body)})
			l.ServedUnsuspected(poison.Run{Target: tt.target, Began: at(50), Ended: at(tt.answered)}, req)
			crash(l, 200, "i-1", "bystander")
			if got := l.Knows(req.Head()); got != tt.suspect {
				t.Errorf("suspected: %t, want %t", got, tt.suspect)
			}
		})
	}
}

// Guards against unbounded memory for runs of answered requests.
func TestAnsweredRequestsAreBounded(t *testing.T) {
	l := poison.NewLedger()
	for i := range 2000 {
		l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(i), Ended: at(i)}, requestOf(fmt.Sprint(i)))
	}
	if runs := l.Crashed(at(2000), "i-1"); len(runs) == 0 || len(runs) > 100 {
		t.Errorf("%d of 2000 runs count as in flight at the crash, want those of the last 100 ms", len(runs))
	}
}

// Guards against a cause that is never suspected, since one VM answered it and another saw the
// crash.
func TestAnsweredRequestsAreSuspectedOfCrashesSeenElsewhere(t *testing.T) {
	l, other := poison.NewLedger(), poison.NewLedger()
	l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(100), Ended: at(180)}, requestOf("killer"))
	l.ServedUnsuspected(poison.Run{Target: "i-2", Began: at(100), Ended: at(180)}, requestOf("elsewhere"))
	crash(other, 200, "i-1", "bystander")
	l.MergeNews(at(230), other.TakeNews())
	for name, want := range map[string]bool{"killer": true, "bystander": true, "elsewhere": false} {
		if got := l.Knows(requestOf(name).Head()); got != want {
			t.Errorf("%s is suspected: %t, want %t", name, got, want)
		}
	}
	if n := len(l.TakeNews().Runs); n != 1 {
		t.Errorf("%d runs are propagated, want the one of this VM", n)
	}
}

// Guards against a data race between a VM that uses a request and the Ledger that computes its
// print.
func TestAnsweredRequestIsCopied(t *testing.T) {
	l, req := poison.NewLedger(), requestOf("killer")
	l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(50), Ended: at(180)}, req)
	var wg sync.WaitGroup
	wg.Go(func() { req.Print() })
	wg.Go(func() { l.Crashed(at(200), "i-1") })
	wg.Wait()
	if !l.Knows(req.Head()) {
		t.Error("the request is not suspected")
	}
}

// Guards against a ban based on crashes before a response, which the VM learns of after the
// response has cleared the request.
func TestNoBanForCrashesLearnedAfterAnAnswer(t *testing.T) {
	l := poison.NewLedger()
	crash(l, 900, "i-0", "a")
	l.Served(at(1400), poison.Run{Print: printOf("a"), Target: "lives", Began: at(950), Ended: at(1400)})
	l.NotCrashed(at(1500), "lives", true)
	for i := range 3 {
		l.MergeNews(at(1600), poison.News{Runs: []poison.Run{
			{Print: printOf("a"), Target: fmt.Sprint("i-", i+1), Began: at(960 + 100*i), Ended: at(1050 + 100*i), Alone: i == 2},
		}})
	}
	l.Tick(at(3000))
	if banned(l, 3000, "a") {
		t.Error("banned for crashes before its response")
	}
	if !l.Knows(printOf("a").Head) {
		t.Error("crashes after the run began do not count against it")
	}
}

// Guards against a ban of a popular request that is answered between the crashes of its
// upstreams.
func TestAnAnswerClears(t *testing.T) {
	l := poison.NewLedger()
	for i := range 10 {
		crash(l, 1000*i+200, fmt.Sprint("i-", i), "a")
		answerAndSurvive(l, 1000*i+500, "a")
	}
	l.Tick(at(20000))
	if !admitted(l, 20000, "a") {
		t.Error("a request that was answered after each crash is rejected")
	}
	if l.Knows(printOf("a").Head) {
		t.Error("a request that was answered after each crash is suspected")
	}
}

// Guards against a popular request that is suspected again of crashes before its response.
func TestAnAnswerClearsOfCrashesLearnedLater(t *testing.T) {
	l := poison.NewLedger()
	crash(l, 100, "i-1", "popular", "killer")
	crash(l, 400, "i-2", "popular", "killer")
	answerAndSurvive(l, 1000, "popular")
	for i, ended := range []int{600, 800, 900} {
		target := fmt.Sprint("late-", i)
		for _, name := range []string{"popular", "killer"} {
			l.MergeNews(at(1500), poison.News{Runs: []poison.Run{{Print: printOf(name), Target: target, Began: at(ended - 50), Ended: at(ended), Alone: name == "killer"}}})
		}
	}
	if !admitted(l, 1600, "popular") || l.Counts().Suspects != 1 {
		t.Errorf("%d suspects, want the poison request alone", l.Counts().Suspects)
	}
	l.Tick(at(2500))
	if !banned(l, 2500, "killer") {
		t.Error("the poison request is not banned")
	}
	l.MergeNews(at(2600), poison.News{Runs: []poison.Run{{Print: printOf("popular"), Target: "i-9", Began: at(1900), Ended: at(2000)}}})
	if l.Counts().Suspects != 1 {
		t.Error("a crash after its response does not count against the popular request")
	}
}
