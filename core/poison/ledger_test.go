package poison_test

import (
	"fmt"
	"testing"
	"time"

	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
)

// Guards against a poison request that continues to crash upstreams, and against rejecting the
// requests that were in flight beside it.
func TestTheRequestInAllCrashesIsBanned(t *testing.T) {
	l := poison.NewLedger()
	crash(l, 100, "i-1", "killer", "a", "b")
	crash(l, 300, "i-2", "killer", "b", "c")
	crash(l, 500, "i-3", "killer", "c", "d")
	if admitted(l, 600, "killer") {
		t.Error("forwarded before the decision on a ban")
	}
	l.Tick(at(1000))
	if !banned(l, 1000, "killer") {
		t.Error("the request in flight at all three crashes is not banned")
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if trial, refused := l.Admit(at(1000), printOf(name)); refused != nil || trial != nil {
			t.Errorf("%s is still suspected of crashes that are attributed to a banned request: %v, %v", name, trial, refused)
		}
	}
}

// Guards against a ban of a request for the loss of a zone.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	l := poison.NewLedger()
	for i := range 5 {
		crash(l, 100+i, fmt.Sprint("i-", i), "a")
	}
	l.Tick(at(2000))
	if !admitted(l, 2000, "a") {
		t.Error("a request in flight at five simultaneous crashes is rejected")
	}
}

// Guards against rejecting a request for an outage of its service.
func TestOutageCausesNoBan(t *testing.T) {
	l := poison.NewLedger()
	for i := range 12 {
		// Seen by VMs of several regions, up to two one-way trips apart.
		crash(l, 1000+10*i, fmt.Sprint("i-", i), "a")
	}
	l.Tick(at(4000))
	if !admitted(l, 4000, "a") {
		t.Error("a request in flight at all upstreams when they crashed is rejected")
	}
}

// Guards against a ban of a popular request that is in flight at every upstream that crashes.
func TestNoBanWithoutExclusiveTrial(t *testing.T) {
	l := poison.NewLedger()
	for i := range 5 {
		l.MergeNews(at(300*i), poison.News{Runs: []poison.Run{
			{Print: printOf("popular"), Target: fmt.Sprint("i-", i), Began: at(300*i - 100), Ended: at(300 * i), ConnectionLost: true},
		}})
	}
	l.Tick(at(3000))
	trial, refused := l.Admit(at(3000), printOf("popular"))
	if refused != nil || trial == nil || !trial.Alone {
		t.Fatalf("no exclusive trial after five crashes: %v, %v", trial, refused)
	}
	answerAndSurvive(l, 3200, "popular")
	trial.Done()
	if l.Knows(printOf("popular").Head) {
		t.Error("it was answered, and is still suspected")
	}
}

// Guards against many simultaneous trials when the upstreams have restarted after a burst of
// crashes.
func TestExclusiveTrialsAfterBurst(t *testing.T) {
	l, other := poison.NewLedger(), poison.NewLedger()
	for i := range 6 {
		crash(l, 1000+5*i, fmt.Sprint("i-", i), "killer")
	}
	other.MergeNews(at(1100), l.TakeNews())
	sent := 0
	for ms := 3000; ms < 9000; ms += 250 {
		trial, refused := l.Admit(at(ms), printOf("killer"))
		if refused != nil {
			continue
		}
		trial.At(fmt.Sprint("j-", ms))
		other.MergeNews(at(ms+5), l.TakeNews())
		sent++
		if second, _ := l.Admit(at(ms+1), printOf("killer")); second != nil {
			t.Fatal("a second run is forwarded while the first is in flight")
		}
		if second, _ := other.Admit(at(ms+10), printOf("killer")); second != nil {
			t.Fatal("another VM forwards a run while the first is in flight")
		}
		l.ConnectionLost(at(ms+100), poison.Run{Print: printOf("killer"), Target: fmt.Sprint("j-", ms), Began: at(ms), Ended: at(ms + 100), Alone: trial.Alone})
		l.Crashed(at(ms+120), fmt.Sprint("j-", ms))
		other.MergeNews(at(ms+120), l.TakeNews())
		trial.Done()
	}
	if sent > 2 {
		t.Errorf("%d trials, want at most two", sent)
	}
}

// Guards against a ban of both of two requests that always arrived together, of which only one
// crashes upstreams.
func TestRequestsWithSameCrashesAreToldApart(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		crash(l, 200*i+100, fmt.Sprint("i-", i), "killer", "a")
	}
	l.Tick(at(2000))
	if !admitted(l, 2000, "a") || !admitted(l, 2000, "killer") {
		t.Fatal("one of two requests that explain the same crashes was rejected without a trial")
	}
	trial, _ := l.Admit(at(2000), printOf("a"))
	trial.At("i-9")
	other, _ := l.Admit(at(2000), printOf("killer"))
	if avoid := other.Avoid(at(2000)); len(avoid) != 1 || avoid[0] != "i-9" || !other.Alone {
		t.Errorf("the second suspect may run beside the first: %v", avoid)
	}
	if admitted(l, 2000, "a") {
		t.Error("a second run of a request on trial is forwarded")
	}
	answerAndSurvive(l, 2200, "a")
	trial.Done()
	l.ConnectionLost(at(2200), poison.Run{Print: printOf("killer"), Target: "i-8", Began: at(2100), Ended: at(2200), Alone: other.Alone})
	l.Crashed(at(2210), "i-8")
	other.Done()
	l.Tick(at(3000))
	if !banned(l, 3000, "killer") || !admitted(l, 3000, "a") {
		t.Error("the wrong one is rejected after one was answered and the other crashed a fourth upstream")
	}
}

// Guards against rejecting a request for the crashes that two poison requests caused.
func TestTwoPoisonRequests(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		bystander := []string{"a", "b"}[i%2]
		crash(l, 200*i+100, fmt.Sprint("i-", i), "one", bystander)
		bystander = []string{"b", "a"}[i%2]
		crash(l, 200*i+150, fmt.Sprint("j-", i), "two", bystander)
	}
	l.Tick(at(2000))
	if !admitted(l, 2000, "a") || !admitted(l, 2000, "b") {
		t.Fatal("a request that was in flight beside both is rejected")
	}
	answerAndSurvive(l, 2100, "a")
	answerAndSurvive(l, 2100, "b")
	l.Tick(at(2100))
	if !banned(l, 2000, "one") || !banned(l, 2000, "two") {
		t.Error("one of two requests that each crashed three upstreams is not banned")
	}
	if !admitted(l, 2000, "a") {
		t.Error("a request that was in flight beside both is rejected")
	}
}

// Guards against two poison requests that are never banned because each explains the crashes of
// the other.
func TestPoisonRequestsThatArriveTogether(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		crash(l, 200*i+100, fmt.Sprint("i-", i), "one", "two")
	}
	for i := range 2 {
		l.Tick(at(1100 + 800*i))
		if banned(l, 1100+800*i, "one") || banned(l, 1100+800*i, "two") {
			t.Fatal("one of two requests with the same crashes is banned")
		}
		crash(l, 1300+800*i, fmt.Sprint("j-", i), "one")
		crash(l, 1300+800*i, fmt.Sprint("k-", i), "two")
	}
	l.Tick(at(3000))
	if !banned(l, 3000, "one") || !banned(l, 3000, "two") {
		t.Error("a request that crashed five upstreams, two without the other request, is not banned")
	}
}

// Guards against memory that grows with the number of requests, and against dropping without a
// count or an event.
func TestLedgerIsBounded(t *testing.T) {
	l := poison.NewLedger()
	for i := range 6000 {
		crash(l, 200*i, fmt.Sprint("i-", i), fmt.Sprint("r-", i))
	}
	c := l.Counts()
	if c.Suspects > 4096 || c.Dropped.Suspects != 6000-c.Suspects {
		t.Errorf("6000 suspects: %+v", c)
	}
	var list []poison.Ban
	for i := range 1500 {
		list = append(list, poison.Ban{Print: printOf(fmt.Sprint("b-", i)), At: at(i).UnixMilli()})
	}
	l.MergeNews(at(2000), poison.News{Bans: list})
	if c := l.Counts(); c.Bans != 1000 || c.Dropped.Bans != 500 {
		t.Errorf("1500 bans: %+v", c)
	}
	if banned(l, 2000, "b-0") || !banned(l, 2000, "b-1499") {
		t.Error("other bans than the oldest were dropped")
	}
	dropped := 0
	for _, e := range l.TakeEvents() {
		if e.Dropped {
			dropped++
		}
	}
	if dropped != 500 {
		t.Errorf("%d events of dropped bans, want 500", dropped)
	}
	later := start.Add(25 * time.Hour)
	l.Tick(later)
	if c := l.Counts(); c.Bans != 0 || c.Suspects != 0 {
		t.Errorf("a day later: %+v", c)
	}
}

// Guards against a wrong RetryAfter in the rejection of a banned request.
func TestBanSaysWhenToRetry(t *testing.T) {
	l := poison.NewLedger()
	l.Restore(at(0), []poison.Ban{{Print: printOf("killer"), At: at(0).UnixMilli()}})
	_, refused := l.Admit(at(1000), printOf("killer"))
	if refused == nil || refused.Verdict != verdict.NotRun || refused.Reason != verdict.ReasonQuarantined {
		t.Fatalf("a banned request: %v", refused)
	}
	if !admitted(l, 1000+int(refused.RetryAfter.Milliseconds()), "killer") {
		t.Error("it is still rejected after RetryAfter")
	}
	if len(l.Unpersisted(at(1000), 0)) != 0 {
		t.Error("a ban read from the platform counts as not stored there")
	}
}
