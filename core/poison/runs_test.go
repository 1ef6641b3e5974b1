package poison_test

import (
	"fmt"
	"testing"

	"auburnlatch/core/poison"
)

// Guards against suspicion of requests that were sent to an upstream after its crash.
func TestRunsAfterTheCrashAreNoCause(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		target := fmt.Sprint("i-", i)
		l.ConnectionLost(at(1000*i+100), poison.Run{Print: printOf("killer"), Target: target, Began: at(1000 * i), Ended: at(1000*i + 100)})
		l.ConnectionLost(at(1000*i+510), poison.Run{Print: printOf("a"), Target: target, Began: at(1000*i + 500), Ended: at(1000*i + 510), Alone: true})
		l.Crashed(at(1000*i+900), target)
	}
	l.Tick(at(5000))
	if trial, refused := l.Admit(at(5000), printOf("a")); trial != nil || refused != nil {
		t.Errorf("a request that was sent after each crash is suspected: %v, %v", trial, refused)
	}
}

// Guards against suspicion for lost connections to upstreams that have not crashed.
func TestALostConnectionIsNoCrash(t *testing.T) {
	l := poison.NewLedger()
	for i := range 5 {
		target := fmt.Sprint("i-", i)
		if !l.ConnectionLost(at(200*i), poison.Run{Print: printOf("a"), Target: target, Began: at(200*i - 100), Ended: at(200 * i)}) {
			t.Fatal("no probe of the upstream is asked for")
		}
		l.NotCrashed(at(200*i+20), target, true)
		l.Answered(at(200*i+900), at(200*i-50), target)
		l.Crashed(at(200*i+950), target)
	}
	if l.Knows(printOf("a").Head) {
		t.Error("a request is suspected though no upstream crashed")
	}
}

// Guards against a poison request that is never suspected since its callers cancel it before
// the crash.
func TestAnAbandonedRequestIsImplicated(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		target := fmt.Sprint("i-", i)
		trial, _ := l.Admit(at(1000*i), printOf("killer"))
		l.Left(at(1000*i+100), poison.Run{
			Print: printOf("killer"), Target: target, Began: at(1000 * i), Ended: at(1000*i + 100), Alone: trial != nil && trial.Alone,
		})
		trial.Done()
		if runs := l.Crashed(at(1000*i+600), target); len(runs) != 1 {
			t.Fatalf("%d runs were in flight at the crash, want 1", len(runs))
		}
	}
	l.Tick(at(4000))
	if !banned(l, 4000, "killer") {
		t.Error("a request that its callers always cancel before the crash is not banned")
	}
}

// Guards against suspicion of a request for a crash long after it was abandoned.
func TestSurvivedRunsAreNotImplicated(t *testing.T) {
	l := poison.NewLedger()
	l.Left(at(100), poison.Run{Print: printOf("a"), Target: "i-1", Began: at(0), Ended: at(100)})
	l.Left(at(1300), poison.Run{Print: printOf("b"), Target: "i-1", Began: at(900), Ended: at(1300)})
	l.Answered(at(1400), at(50), "i-1")
	if runs := l.Crashed(at(1500), "i-1"); len(runs) != 1 || runs[0].Print != printOf("b") {
		t.Errorf("%d runs were in flight at the crash, want only the last", len(runs))
	}
}

// Guards against a lost response that counts as the first sign of a crash.
func TestALostResponseIsNoSignOfACrash(t *testing.T) {
	for name, survives := range map[string]func(l *poison.Ledger, ms int, target string){
		"it answers another late":    func(l *poison.Ledger, ms int, target string) { l.Answered(at(ms+550), at(ms-50), target) },
		"it answers a later one":     func(l *poison.Ledger, ms int, target string) { l.Answered(at(ms+10), at(ms), target) },
		"it keeps a connection open": func(l *poison.Ledger, ms int, target string) { l.NotCrashed(at(ms), target, true) },
	} {
		l := poison.NewLedger()
		for i := range 3 {
			ms, target := 1000*i, fmt.Sprint("i-", i)
			l.ConnectionLost(at(ms+50), poison.Run{Print: printOf(fmt.Sprint("lost-", i)), Target: target, Began: at(ms), Ended: at(ms + 50)})
			survives(l, ms+80, target)
			crash(l, ms+700, target, "killer")
		}
		l.Tick(at(5000))
		if !banned(l, 5000, "killer") {
			t.Errorf("%s: a request is not banned that crashes upstreams which lost a response before", name)
		}
	}
}

// Guards against a later run at an upstream that replaces the one which crashed it.
func TestLaterRunDoesNotReplaceCause(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		ms, target := 1000*i, fmt.Sprint("i-", i)
		trial, _ := l.Admit(at(ms), printOf("killer"))
		cause := poison.Run{Print: printOf("killer"), Target: target, Began: at(ms), Ended: at(ms + 50), Alone: trial != nil && trial.Alone, ConnectionLost: true}
		trial.Done()
		later := poison.Run{Print: printOf("killer"), Target: target, Began: at(ms + 200), Ended: at(ms + 201), ConnectionLost: true}
		l.MergeNews(at(ms+300), poison.News{Runs: []poison.Run{later}})
		l.MergeNews(at(ms+310), poison.News{Runs: []poison.Run{cause}})
	}
	l.Tick(at(5000))
	if !banned(l, 5000, "killer") {
		t.Error("a request that was sent again after each crash is not banned")
	}
}

// Guards against runs without a response that do not count until this VM has seen the crash itself,
// though another VM has.
func TestRunsCountForCrashesSeenElsewhere(t *testing.T) {
	run := func(name, target string, began, ended int) poison.Run {
		return poison.Run{Print: printOf(name), Target: target, Began: at(began), Ended: at(ended)}
	}
	l := poison.NewLedger()
	l.ConnectionLost(at(200), run("broken", "i-1", 100, 200))
	l.Left(at(210), run("abandoned", "i-1", 100, 210))
	l.ConnectionLost(at(220), run("after the first sign", "i-1", 205, 220))
	l.ConnectionLost(at(200), run("elsewhere", "i-2", 100, 200))
	l.MergeNews(at(300), poison.News{Runs: []poison.Run{run("bystander", "i-1", 100, 200)}})
	if probe := l.ConnectionLost(at(310), run("later", "i-1", 100, 310)); probe {
		t.Error("a second probe is asked for while the first is pending")
	}
	l.Left(at(320), run("left later", "i-1", 100, 320))
	want := map[string]bool{"broken": true, "abandoned": true, "after the first sign": false, "elsewhere": false, "bystander": true, "later": true, "left later": true}
	for name, want := range want {
		if got := l.Knows(printOf(name).Head); got != want {
			t.Errorf("%s is suspected: %t, want %t", name, got, want)
		}
	}
	if n := len(l.TakeNews().Runs); n != 4 {
		t.Errorf("%d runs are propagated, want the four of this VM", n)
	}
	if !l.HasAbandoned(at(330), "i-1") {
		t.Error("the upstream is not probed if its registration lapses")
	}
	if n := len(l.Crashed(at(400), "i-1")); n != 4 {
		t.Errorf("%d runs are returned once this VM sees the crash, want four", n)
	}
	if n := len(l.TakeNews().Runs); n != 0 {
		t.Errorf("%d runs are propagated again", n)
	}
}
