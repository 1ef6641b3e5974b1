package poison_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/poison"
)

// Guards against a suspect that is cleared by an answer which says nothing of the ends held
// against it.
func TestWhichAnswersClear(t *testing.T) {
	for _, tt := range []struct {
		name    string
		began   int // Milliseconds; the upstreams end at 1000 and 1010, the answer comes at 1050.
		then    func(l *poison.Ledger)
		suspect bool
	}{
		{"began after the ends, upstream lives on", 1020, func(l *poison.Ledger) { l.NotEnded(at(1150), "i-9", true) }, false},
		{"upstream ends as it answers", 1020, func(l *poison.Ledger) { l.Ended(at(1150), "i-9") }, true},
		{"upstream had ended", 1020, func(l *poison.Ledger) { l.Ended(at(1040), "i-9") }, true},
		{"upstream falls silent", 1020, func(l *poison.Ledger) { l.NotEnded(at(1150), "i-9", false) }, true},
		{"upstream is asked too early", 1020, func(l *poison.Ledger) { l.NotEnded(at(1060), "i-9", true) }, true},
		{"began before the ends", 900, func(l *poison.Ledger) { l.NotEnded(at(1150), "i-9", true) }, true},
		{"began between the ends", 1005, func(l *poison.Ledger) { l.NotEnded(at(1150), "i-9", true) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.NewLedger()
			endUnder(l, 1000, "i-1", "a")
			endUnder(l, 1010, "i-2", "a")
			l.Served(at(1050), poison.Run{Print: printOf("a"), Target: "i-9", Began: at(tt.began), Ended: at(1050)})
			tt.then(l)
			if got := l.Knows(printOf("a").Head); got != tt.suspect {
				t.Errorf("suspected: %t, want %t", got, tt.suspect)
			}
		})
	}
}

// Guards against a request that ends each upstream in the moment of its answer, and is never
// counted as a cause.
func TestAnswersOfUpstreamsThatEndCountAsEnds(t *testing.T) {
	l := poison.NewLedger()
	endUnder(l, 100, "i-0", "killer")
	for i := range 4 {
		ms, target := 1000*(i+1), fmt.Sprint("i-", i+1)
		trial, refused := l.Admit(at(ms), printOf("killer"))
		if refused != nil {
			t.Fatalf("run %d is refused: %v", i, refused)
		}
		if i >= 2 && !trial.Alone {
			t.Errorf("run %d, after %d ends, is not tried by itself", i, i+1)
		}
		l.Served(at(ms+30), poison.Run{Print: printOf("killer"), Target: target, Began: at(ms), Ended: at(ms + 30), Alone: trial.Alone})
		trial.Done()
		l.Ended(at(ms+130), target)
	}
	l.Tick(at(5000))
	if !banned(l, 5000, "killer") {
		t.Error("a request whose runs end their upstreams as they are answered is not banned")
	}
}

// Guards against other VMs that clear a suspect by an answer from before ends of which they
// know.
func TestToldAnswersClearOfEarlierEndsOnly(t *testing.T) {
	a, b := poison.NewLedger(), poison.NewLedger()
	endUnder(a, 1000, "i-1", "a")
	b.Told(at(1030), a.TakeNews())
	endUnder(b, 1500, "i-2", "a")
	served(a, 1300, "a") // Its run began at 1200.
	if a.Knows(printOf("a").Head) {
		t.Fatal("the VM that saw the answer suspects the request")
	}
	b.Told(at(1600), a.TakeNews())
	if got := b.Counts().Suspects; got != 1 {
		t.Errorf("%d are suspected by the other VM, want the one with an end after the answer", got)
	}
	trial, _ := b.Admit(at(1700), printOf("a"))
	if trial == nil || trial.Alone {
		t.Errorf("after the answer one end is left: %+v, want a trial beside others", trial)
	}
}

// Guards against a ban that is lifted by an answer from before the ends that it rests on.
func TestAnswersFromBeforeTheEndsLiftNoBan(t *testing.T) {
	for _, tt := range []struct {
		name   string
		began  int // Milliseconds; the last end is at 900.
		banned bool
	}{
		{"began before the last end", 850, true},
		{"began after the last end", 950, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.NewLedger()
			for i := range 3 {
				endUnder(l, 300*(i+1), fmt.Sprint("i-", i), "a")
			}
			l.Tick(at(2000))
			if !banned(l, 2000, "a") {
				t.Fatal("not banned after three ends in a row")
			}
			l.Served(at(2100), poison.Run{Print: printOf("a"), Target: "i-9", Began: at(tt.began), Ended: at(2100)})
			l.NotEnded(at(2200), "i-9", true)
			if got := banned(l, 2300, "a"); got != tt.banned {
				t.Errorf("banned: %t, want %t", got, tt.banned)
			}
		})
	}
}

// Guards against answers of which nobody finds out whether their upstream lived on and that
// are kept for ever.
func TestAnswersAreForgotten(t *testing.T) {
	l := poison.NewLedger()
	endUnder(l, 1000, "i-1", "a")
	run := poison.Run{Print: printOf("a"), Target: "i-9", Began: at(1010), Ended: at(1050)}
	if !l.Served(at(1050), run) {
		t.Error("it is not asked whether the upstream lives on")
	}
	if l.Served(at(1060), run) {
		t.Error("it is asked twice at once")
	}
	later := at(1050).Add(time.Minute)
	l.Tick(later)
	run.Began, run.Ended = later, later
	if !l.Served(later, run) {
		t.Error("a minute later it is not asked again")
	}
}

// Guards against a ban of a request whose upstream is just being asked whether it outlived
// its answer.
func TestNobodyIsBannedWhileAnAnswerIsConfirmed(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		endUnder(l, 300*(i+1), fmt.Sprint("i-", i), "a")
	}
	answered(l, 1290, "a") // Sent by a VM that did not know of the ends yet.
	l.Tick(at(1400))
	if banned(l, 1400, "a") {
		t.Error("banned between an answer and the word that its upstream lives on")
	}
	l.NotEnded(at(1400), "lives", true)
	l.Tick(at(1500))
	if l.Knows(printOf("a").Head) {
		t.Error("suspected though it was answered after all ends")
	}
}

// Guards against a request that each upstream answers before it ends, and that is never
// suspected.
func TestAnsweredRequestsAreSuspectedOfEndsToo(t *testing.T) {
	for _, tt := range []struct {
		name         string
		answered     int // Milliseconds; the first sign of the end is seen at 200.
		body, target string
		suspect      bool
	}{
		{"in the moment of the end", 180, "", "i-1", true},
		{"well before the end", 90, "", "i-1", false},
		{"by another upstream", 180, "", "i-2", false},
		{"with a body too long to keep", 180, strings.Repeat("x", 5000), "i-1", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := poison.NewLedger()
			req := poison.NewRequest(poison.Content{URI: "/killer", Body: []byte(tt.body)})
			l.ServedUnsuspected(poison.Run{Target: tt.target, Began: at(50), Ended: at(tt.answered)}, req)
			endUnder(l, 200, "i-1", "bystander")
			if got := l.Knows(req.Head()); got != tt.suspect {
				t.Errorf("suspected: %t, want %t", got, tt.suspect)
			}
		})
	}
}

// Guards against runs of answered requests that take more and more memory.
func TestAnsweredRequestsAreKeptForAMoment(t *testing.T) {
	l := poison.NewLedger()
	for i := range 2000 {
		l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(i), Ended: at(i)}, requestOf(fmt.Sprint(i)))
	}
	if runs := l.Ended(at(2000), "i-1"); len(runs) == 0 || len(runs) > 100 {
		t.Errorf("%d of 2000 runs are held to have been under way at the end, want those of the last 100 ms", len(runs))
	}
}

// Guards against a cause that only its own VM knows of, while another VM sees the end.
func TestAnsweredRequestsAreSuspectedOfEndsSeenElsewhere(t *testing.T) {
	l, other := poison.NewLedger(), poison.NewLedger()
	l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(100), Ended: at(180)}, requestOf("killer"))
	l.ServedUnsuspected(poison.Run{Target: "i-2", Began: at(100), Ended: at(180)}, requestOf("elsewhere"))
	endUnder(other, 200, "i-1", "bystander")
	l.Told(at(230), other.TakeNews())
	for name, want := range map[string]bool{"killer": true, "bystander": true, "elsewhere": false} {
		if got := l.Knows(requestOf(name).Head()); got != want {
			t.Errorf("%s is suspected: %t, want %t", name, got, want)
		}
	}
	if n := len(l.TakeNews().Runs); n != 1 {
		t.Errorf("%d runs are told of, want the own one", n)
	}
}

// Guards against a request that is used by its VM while the ledger recognizes it.
func TestAnsweredRequestIsSentOnceMore(t *testing.T) {
	l, req := poison.NewLedger(), requestOf("killer")
	l.ServedUnsuspected(poison.Run{Target: "i-1", Began: at(50), Ended: at(180)}, req)
	var wg sync.WaitGroup
	wg.Go(func() { req.Print() })
	wg.Go(func() { l.Ended(at(200), "i-1") })
	wg.Wait()
	if !l.Knows(req.Head()) {
		t.Error("the request is not suspected")
	}
}

// Guards against a ban that rests on ends before an answer, of which the VM learns after
// the answer has cleared the request.
func TestNoBanRestsOnEndsLearnedAfterAnAnswer(t *testing.T) {
	l := poison.NewLedger()
	endUnder(l, 900, "i-0", "a")
	l.Served(at(1400), poison.Run{Print: printOf("a"), Target: "lives", Began: at(950), Ended: at(1400)})
	l.NotEnded(at(1500), "lives", true)
	for i := range 3 {
		l.Told(at(1600), poison.News{Runs: []poison.Run{
			{Print: printOf("a"), Target: fmt.Sprint("i-", i+1), Began: at(960 + 100*i), Ended: at(1050 + 100*i), Alone: i == 2},
		}})
	}
	l.Tick(at(3000))
	if banned(l, 3000, "a") {
		t.Error("banned for ends that came before its answer")
	}
	if !l.Knows(printOf("a").Head) {
		t.Error("ends after the run began are not held against it")
	}
}

// Guards against a ban of a look-up that is answered between the ends of its upstreams.
func TestAnAnswerClears(t *testing.T) {
	l := poison.NewLedger()
	for i := range 10 {
		endUnder(l, 1000*i+200, fmt.Sprint("i-", i), "a")
		served(l, 1000*i+500, "a")
	}
	l.Tick(at(20000))
	if !admitted(l, 20000, "a") {
		t.Error("a request that was answered after each end is refused")
	}
	if l.Knows(printOf("a").Head) {
		t.Error("something is remembered of a request that was answered")
	}
}

// Guards against a look-up that is suspected again of ends from before its answer.
func TestAnAnswerClearsOfEndsLearnedLater(t *testing.T) {
	l := poison.NewLedger()
	endUnder(l, 100, "i-1", "popular", "killer")
	endUnder(l, 400, "i-2", "popular", "killer")
	served(l, 1000, "popular")
	for i, ended := range []int{600, 800, 900} {
		target := fmt.Sprint("late-", i)
		for _, name := range []string{"popular", "killer"} {
			l.Told(at(1500), poison.News{Runs: []poison.Run{{Print: printOf(name), Target: target, Began: at(ended - 50), Ended: at(ended), Alone: name == "killer"}}})
		}
	}
	if !admitted(l, 1600, "popular") || l.Counts().Suspects != 1 {
		t.Errorf("%d are suspected, want the killer alone", l.Counts().Suspects)
	}
	l.Tick(at(2500))
	if !banned(l, 2500, "killer") {
		t.Error("the killer is not banned")
	}
	l.Told(at(2600), poison.News{Runs: []poison.Run{{Print: printOf("popular"), Target: "i-9", Began: at(1900), Ended: at(2000)}}})
	if l.Counts().Suspects != 1 {
		t.Error("an end after its answer is not held against the look-up")
	}
}
