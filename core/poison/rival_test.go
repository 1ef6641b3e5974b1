package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/poison"
)

// burst returns the runs of a poison request that crashes five upstreams within 150 ms, all of
// its runs begun before the first crash. A popular request is in flight at each of them, and is
// sent again after each crash, the last time as an exclusive trial.
func burst() []poison.Run {
	var runs []poison.Run
	for i := range 5 {
		target, ended := fmt.Sprint("i-", i), at(1000+30*i)
		runs = append(runs,
			poison.Run{Print: printOf("killer"), Target: target, Began: at(950), Ended: ended, ConnectionLost: true},
			poison.Run{Print: printOf("popular"), Target: target, Began: at(1000 + 30*(i-1)), Ended: ended, ConnectionLost: true, Alone: i == 4},
		)
	}
	return runs
}

// Guards against a ban of a popular request in place of the poison request that caused a burst
// of crashes, since only the popular one has consecutive crashes.
func TestPopularRequestIsNotBannedForABurst(t *testing.T) {
	l := poison.NewLedger()
	l.MergeNews(at(1200), poison.News{Runs: burst()})
	l.Tick(at(2000))
	for _, name := range []string{"popular", "killer"} {
		if banned(l, 2000, name) {
			t.Errorf("%s is banned though both requests have the same crashes", name)
		}
	}
	trial, refused := l.Admit(at(4000), printOf("popular"))
	if refused != nil || !trial.Alone {
		t.Fatalf("no exclusive trial of the popular request: %v, %v", trial, refused)
	}
	trial.Done()
	answerAndSurvive(l, 4100, "popular")
	for i := range 3 {
		crash(l, 5000+3000*i, fmt.Sprint("j-", i), "killer")
	}
	l.Tick(at(14000))
	if !banned(l, 14000, "killer") || banned(l, 14000, "popular") {
		t.Error("want a ban of the poison request alone after the popular one was answered")
	}
}

// Guards against a ban of a popular request in place of the poison request that caused all crashes
// but one, since an upstream crashed by itself during an exclusive trial of the popular one.
func TestPopularRequestIsNotBannedForABurstAndOneMoreCrash(t *testing.T) {
	for _, last := range []int{2, 3, 4} { // The last upstream that the poison request crashes.
		runs := slices.DeleteFunc(burst(), func(r poison.Run) bool {
			return r.Print == printOf("killer") && r.Target > fmt.Sprint("i-", last)
		})
		runs = append(runs, poison.Run{Print: printOf("popular"), Target: "j-0", Began: at(1130), Ended: at(1160), ConnectionLost: true, Alone: true})
		runs = slices.DeleteFunc(runs, func(r poison.Run) bool {
			return r.Target > fmt.Sprint("i-", last) && r.Target != "j-0"
		})
		l := poison.NewLedger()
		l.MergeNews(at(1200), poison.News{Runs: runs})
		l.Tick(at(2000))
		if banned(l, 2000, "popular") {
			t.Errorf("the popular request is banned for %d crashes, of which the poison request explains %d", last+2, last+1)
		}
	}
}

// Guards against a ban of a popular request in place of the poison request that caused a burst, since
// a caller of the popular one hung up at an upstream that was leaving and ended seconds later.
func TestPopularRequestIsNotBannedForAnUpstreamThatLeft(t *testing.T) {
	l, other := poison.NewLedger(), poison.NewLedger()
	l.Left(at(500), poison.Run{Print: printOf("popular"), Target: "leaving", Began: at(480), Ended: at(500)})
	runs := append(burst(), poison.Run{Print: printOf("popular"), Target: "j-0", Began: at(5130), Ended: at(5160), ConnectionLost: true, Alone: true})
	for i := range runs[:len(runs)-1] {
		runs[i].Began, runs[i].Ended = runs[i].Began.Add(4*time.Second), runs[i].Ended.Add(4*time.Second)
	}
	l.MergeNews(at(5200), poison.News{Runs: runs})
	other.MergeNews(at(5200), poison.News{Runs: runs})
	if n := len(l.Crashed(at(5300), "leaving")); n != 1 {
		t.Fatalf("%d runs may have caused the end of the upstream that left, want 1", n)
	}
	other.MergeNews(at(5330), l.TakeNews())
	for i, l := range []*poison.Ledger{l, other} {
		l.Tick(at(6000))
		if banned(l, 6000, "popular") {
			t.Errorf("VM %d bans the popular request", i)
		}
	}
}

// Guards against a ban that is based on crashes before a response, of a request with many
// simultaneous callers.
func TestNoBanForCrashesBeforeAnAnswer(t *testing.T) {
	for _, tt := range []struct {
		name     string
		answered int // Milliseconds, of a run that began at 100. The crashes are at 300, 600 and 900.
		banned   bool
	}{
		{"answered before the crashes", 200, true},
		{"answered after the first", 500, false},
		{"answered after all", 1000, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, other := poison.NewLedger(), poison.NewLedger()
			for i := range 3 {
				crash(l, 300*(i+1), fmt.Sprint("i-", i), "a")
			}
			l.Served(at(tt.answered), poison.Run{Print: printOf("a"), Target: "lives", Began: at(100), Ended: at(tt.answered)})
			l.NotCrashed(at(1100), "lives", true)
			other.MergeNews(at(1120), l.TakeNews())
			for i, l := range []*poison.Ledger{l, other} {
				l.Tick(at(2000))
				if got := banned(l, 2000, "a"); got != tt.banned {
					t.Errorf("VM %d: banned: %t, want %t", i, got, tt.banned)
				}
				if !l.Knows(printOf("a").Head) {
					t.Errorf("VM %d has no suspect, though the crashes came after the run began", i)
				}
			}
		})
	}
}

// Guards against a ban of a request with many simultaneous callers for responses from upstreams
// that other requests crashed right afterwards.
func TestAnsweredRunsAreNoConsecutiveCrashes(t *testing.T) {
	l := poison.NewLedger()
	for i := range 4 {
		ms, target := 1000+300*i, fmt.Sprint("i-", i)
		l.ServedUnsuspected(poison.Run{Target: target, Began: at(ms - 80), Ended: at(ms - 20)}, requestOf("popular"))
		crash(l, ms, target, fmt.Sprint("other-", i))
	}
	l.MergeNews(at(2300), poison.News{Runs: []poison.Run{{Print: printOf("popular"), Target: "i-9", Began: at(2150), Ended: at(2250), ConnectionLost: true, Alone: true}}})
	l.Tick(at(3000))
	if banned(l, 3000, "popular") {
		t.Error("a request with one crash in an exclusive trial, and responses before four other crashes, is banned")
	}
}

// Guards against a ban of a popular request in place of the poison request that crashed nearly all
// upstreams, while the VM that sent it reaches none and so cannot tell that they crashed.
func TestPopularRequestIsNotBannedWhileAVMIsCutOff(t *testing.T) {
	cutOff, other := poison.NewLedger(), poison.NewLedger()
	for _, r := range burst() {
		if r.Print == printOf("killer") {
			cutOff.ConnectionLost(r.Ended, r)
			continue
		}
		other.ConnectionLost(r.Ended, r)
		other.Crashed(r.Ended, r.Target)
	}
	cutOff.MergeNews(at(1200), other.TakeNews())
	other.MergeNews(at(1230), cutOff.TakeNews())
	for i, l := range []*poison.Ledger{cutOff, other} {
		l.Tick(at(2000))
		if banned(l, 2000, "popular") {
			t.Errorf("VM %d bans the popular request", i)
		}
		if !l.Knows(printOf("killer").Head) {
			t.Errorf("VM %d does not suspect the poison request", i)
		}
	}
}

// Guards against a VM that has just started and bans a request for crashes before its response,
// which the others know of.
func TestStartingVMBansNobodyForCrashesBeforeAnAnswer(t *testing.T) {
	l, started := poison.NewLedger(), poison.NewLedger()
	for i := range 3 {
		crash(l, 300*(i+1), fmt.Sprint("i-", i), "a")
	}
	l.Served(at(1000), poison.Run{Print: printOf("a"), Target: "lives", Began: at(100), Ended: at(1000)})
	l.NotCrashed(at(1100), "lives", true)
	started.MergeNews(at(1130), l.Snapshot())
	started.Tick(at(2000))
	if banned(started, 2000, "a") {
		t.Error("banned for crashes before its response")
	}
	if !started.Knows(printOf("a").Head) {
		t.Error("crashes after the run began do not count against it")
	}
}
