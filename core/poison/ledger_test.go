package poison_test

import (
	"fmt"
	"testing"
	"time"

	"auburnlatch/core/poison"
	"auburnlatch/core/verdict"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at is the time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func requestOf(name string) *poison.Request {
	return poison.NewRequest(poison.Content{Method: "GET", Host: "h", URI: "/" + name})
}

func printOf(name string) poison.Print { return requestOf(name).Print() }

// endUnder has an upstream end at a time under runs that began 100 ms before.
func endUnder(l *poison.Ledger, ms int, target string, names ...string) {
	for _, name := range names {
		trial, _ := l.Admit(at(ms-100), printOf(name))
		run := poison.Run{Print: printOf(name), Target: target, Began: at(ms - 100), Ended: at(ms), Alone: trial != nil && trial.Alone}
		trial.Done()
		l.Broke(at(ms), run)
	}
	l.Ended(at(ms+20), target)
}

// served has a request answered whose run began 100 ms before, by an upstream that lives on
// to be asked 100 ms later.
func served(l *poison.Ledger, ms int, name string) {
	answered(l, ms, name)
	l.NotEnded(at(ms+100), "lives", true)
}

// answered has the upstream "lives" answer a request whose run began 100 ms before.
func answered(l *poison.Ledger, ms int, name string) {
	l.Served(at(ms), poison.Run{Print: printOf(name), Target: "lives", Began: at(ms - 100), Ended: at(ms)})
}

// admitted reports whether a request may be sent on; its trial ends at once.
func admitted(l *poison.Ledger, ms int, name string) bool {
	trial, refused := l.Admit(at(ms), printOf(name))
	trial.Done()
	return refused == nil
}

// banned reports whether a request is refused for long.
func banned(l *poison.Ledger, ms int, name string) bool {
	trial, refused := l.Admit(at(ms), printOf(name))
	trial.Done()
	return refused != nil && refused.RetryAfter > time.Minute
}

// One request is under way at each of three upstreams that end, others at one or two
// of them, by chance. It must not be sent on any more; the others must, and once they
// are answered nothing is held against them.
func TestTheRequestUnderAllEndsIsBanned(t *testing.T) {
	l := poison.NewLedger()
	endUnder(l, 100, "i-1", "killer", "a", "b")
	endUnder(l, 300, "i-2", "killer", "b", "c")
	endUnder(l, 500, "i-3", "killer", "c", "d")
	if admitted(l, 600, "killer") {
		t.Error("sent on while it is not judged yet")
	}
	l.Tick(at(1000))
	if !banned(l, 1000, "killer") {
		t.Error("the request under all three ends is not banned")
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if trial, refused := l.Admit(at(1000), printOf(name)); refused != nil || trial != nil {
			t.Errorf("%s, which a ban explains, is suspected still: %v, %v", name, trial, refused)
		}
	}
}

// A zone loses power, and with it five upstreams at which one impatient caller has the
// same look-up under way. The look-up is not to blame, and must not be banned.
func TestEndsAtTheSameTimeCountOnce(t *testing.T) {
	l := poison.NewLedger()
	for i := range 5 {
		endUnder(l, 100+i, fmt.Sprint("i-", i), "a")
	}
	l.Tick(at(2000))
	if !admitted(l, 2000, "a") {
		t.Error("a request under five ends at once is refused")
	}
}

// All upstreams of a service end at once, as by one fault, while many callers wait for the
// same look-up there. It must be served when they are back.
func TestAnOutageIsNoProof(t *testing.T) {
	l := poison.NewLedger()
	for i := range 12 {
		// Seen by VMs of several regions, up to two trips apart.
		endUnder(l, 1000+10*i, fmt.Sprint("i-", i), "a")
	}
	l.Tick(at(4000))
	if !admitted(l, 4000, "a") {
		t.Error("a look-up that was under way at all upstreams when they ended is refused")
	}
}

// A look-up that many ask for is under way at each upstream that ends, at VMs that do not
// know of it yet, and looks like the cause of all ends. It must be tried by itself before
// it is banned, and is answered.
func TestNobodyIsBannedWithoutATrial(t *testing.T) {
	l := poison.NewLedger()
	for i := range 5 {
		l.Told(at(300*i), poison.News{Runs: []poison.Run{
			{Print: printOf("popular"), Target: fmt.Sprint("i-", i), Began: at(300*i - 100), Ended: at(300 * i), Cut: true},
		}})
	}
	l.Tick(at(3000))
	trial, refused := l.Admit(at(3000), printOf("popular"))
	if refused != nil || trial == nil || !trial.Alone {
		t.Fatalf("after five ends it is not tried by itself: %v, %v", trial, refused)
	}
	served(l, 3200, "popular")
	trial.Done()
	if l.Knows(printOf("popular").Head) {
		t.Error("it was answered, and is suspected still")
	}
}

// A request comes in a burst, and all upstreams have ended under it before anybody knows.
// When they are back it may be tried only one run at a time, and twice at the most.
func TestABurstIsTriedAlone(t *testing.T) {
	l, other := poison.NewLedger(), poison.NewLedger()
	for i := range 6 {
		endUnder(l, 1000+5*i, fmt.Sprint("i-", i), "killer")
	}
	other.Told(at(1100), l.TakeNews())
	sent := 0
	for ms := 3000; ms < 9000; ms += 250 {
		trial, refused := l.Admit(at(ms), printOf("killer"))
		if refused != nil {
			continue
		}
		trial.At(fmt.Sprint("j-", ms))
		other.Told(at(ms+5), l.TakeNews())
		sent++
		if second, _ := l.Admit(at(ms+1), printOf("killer")); second != nil {
			t.Fatal("a second run is sent on while the first is under way")
		}
		if second, _ := other.Admit(at(ms+10), printOf("killer")); second != nil {
			t.Fatal("another VM sends a run on while the first is under way")
		}
		l.Broke(at(ms+100), poison.Run{Print: printOf("killer"), Target: fmt.Sprint("j-", ms), Began: at(ms), Ended: at(ms + 100), Alone: trial.Alone})
		l.Ended(at(ms+120), fmt.Sprint("j-", ms))
		other.Told(at(ms+120), l.TakeNews())
		trial.Done()
	}
	if sent > 2 {
		t.Errorf("tried %d times, want twice at the most", sent)
	}
}

// A look-up that many ask for is under way at upstreams that end by themselves, time and
// again; in between it is answered. It must not be banned.
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

// Two requests always came together, and three upstreams ended under both. Either may
// be the cause. The next trial tells: the one is answered, the other ends a fourth.
func TestTheInnocentOfTwoIsServed(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		endUnder(l, 200*i+100, fmt.Sprint("i-", i), "killer", "a")
	}
	l.Tick(at(2000))
	if !admitted(l, 2000, "a") || !admitted(l, 2000, "killer") {
		t.Fatal("one of two requests that explain the same ends was refused without a trial")
	}
	trial, _ := l.Admit(at(2000), printOf("a"))
	trial.At("i-9")
	other, _ := l.Admit(at(2000), printOf("killer"))
	if avoid := other.Avoid(at(2000)); len(avoid) != 1 || avoid[0] != "i-9" || !other.Alone {
		t.Errorf("the second suspect may run beside the first: %v", avoid)
	}
	if admitted(l, 2000, "a") {
		t.Error("a second run of a request that is being tried is sent on")
	}
	served(l, 2200, "a")
	trial.Done()
	l.Broke(at(2200), poison.Run{Print: printOf("killer"), Target: "i-8", Began: at(2100), Ended: at(2200), Alone: other.Alone})
	l.Ended(at(2210), "i-8")
	other.Done()
	l.Tick(at(3000))
	if !banned(l, 3000, "killer") || !admitted(l, 3000, "a") {
		t.Error("after one was answered and the other ended a fourth upstream, the wrong one is refused")
	}
}

// Two requests end upstreams, at the same time and apart from each other. A third was
// under way at some of either, and is answered. Both must be banned, and it must not.
func TestTwoKillers(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		bystander := []string{"a", "b"}[i%2]
		endUnder(l, 200*i+100, fmt.Sprint("i-", i), "one", bystander)
		bystander = []string{"b", "a"}[i%2]
		endUnder(l, 200*i+150, fmt.Sprint("j-", i), "two", bystander)
	}
	l.Tick(at(2000))
	if !admitted(l, 2000, "a") || !admitted(l, 2000, "b") {
		t.Fatal("a bystander of both is refused")
	}
	served(l, 2100, "a")
	served(l, 2100, "b")
	l.Tick(at(2100))
	if !banned(l, 2000, "one") || !banned(l, 2000, "two") {
		t.Error("one of two requests that each ended three upstreams is not banned")
	}
	if !admitted(l, 2000, "a") {
		t.Error("a bystander of both is refused")
	}
}

// Two requests that end upstreams always come together at first. Tried apart, each ends
// two more, and both must be banned.
func TestKillersThatComeTogether(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		endUnder(l, 200*i+100, fmt.Sprint("i-", i), "one", "two")
	}
	for i := range 2 {
		l.Tick(at(1100 + 800*i))
		if banned(l, 1100+800*i, "one") || banned(l, 1100+800*i, "two") {
			t.Fatal("one of two is banned that nothing tells apart")
		}
		endUnder(l, 1300+800*i, fmt.Sprint("j-", i), "one")
		endUnder(l, 1300+800*i, fmt.Sprint("k-", i), "two")
	}
	l.Tick(at(3000))
	if !banned(l, 3000, "one") || !banned(l, 3000, "two") {
		t.Error("a request that ended five upstreams, two by itself, is not banned")
	}
}

// Something stands before an upstream, takes connections after it has ended, and resets
// them. What is sent there then, a trial by itself included, did not end it.
func TestWhatWasSentAfterTheEndIsNoCause(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		target := fmt.Sprint("i-", i)
		l.Broke(at(1000*i+100), poison.Run{Print: printOf("killer"), Target: target, Began: at(1000 * i), Ended: at(1000*i + 100)})
		l.Broke(at(1000*i+510), poison.Run{Print: printOf("a"), Target: target, Began: at(1000*i + 500), Ended: at(1000*i + 510), Alone: true})
		l.Ended(at(1000*i+900), target)
	}
	l.Tick(at(5000))
	if trial, refused := l.Admit(at(5000), printOf("a")); trial != nil || refused != nil {
		t.Errorf("a request that was sent after each end is suspected: %v, %v", trial, refused)
	}
}

// Connections break off while their upstreams live, as where answers are lost; the
// upstreams answer others, and end much later.
func TestABrokenConnectionIsNoEnd(t *testing.T) {
	l := poison.NewLedger()
	for i := range 5 {
		target := fmt.Sprint("i-", i)
		if !l.Broke(at(200*i), poison.Run{Print: printOf("a"), Target: target, Began: at(200*i - 100), Ended: at(200 * i)}) {
			t.Fatal("whether the upstream ended is not asked")
		}
		l.NotEnded(at(200*i+20), target, true)
		l.Answered(at(200*i+900), at(200*i-50), target)
		l.Ended(at(200*i+950), target)
	}
	if l.Knows(printOf("a").Head) {
		t.Error("a request is suspected though no upstream ended")
	}
}

// The caller leaves before the upstream ends, so no connection tells of the end. It
// shows later, and the request is held to have been under way.
func TestARequestThatWasGivenUpIsImplicated(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		target := fmt.Sprint("i-", i)
		trial, _ := l.Admit(at(1000*i), printOf("killer"))
		l.Left(at(1000*i+100), poison.Run{
			Print: printOf("killer"), Target: target, Began: at(1000 * i), Ended: at(1000*i + 100), Alone: trial != nil && trial.Alone,
		})
		trial.Done()
		if runs := l.Ended(at(1000*i+600), target); len(runs) != 1 {
			t.Fatalf("%d runs were under way at the end, want 1", len(runs))
		}
	}
	l.Tick(at(4000))
	if !banned(l, 4000, "killer") {
		t.Error("a request whose callers always leave first is not banned")
	}
}

// A request is given up; the upstream goes on answering others and ends much later, of
// something else.
func TestAnUpstreamThatLivesOnClears(t *testing.T) {
	l := poison.NewLedger()
	l.Left(at(100), poison.Run{Print: printOf("a"), Target: "i-1", Began: at(0), Ended: at(100)})
	l.Left(at(1300), poison.Run{Print: printOf("b"), Target: "i-1", Began: at(900), Ended: at(1300)})
	l.Answered(at(1400), at(50), "i-1")
	if runs := l.Ended(at(1500), "i-1"); len(runs) != 1 || runs[0].Print != printOf("b") {
		t.Errorf("%d runs were under way at the end, want the last alone", len(runs))
	}
}

// Each VM sees one end; what they tell each other makes three. Then one is answered by
// an upstream after all, and the ban is lifted everywhere.
func TestVMsTellEachOther(t *testing.T) {
	vms := []*poison.Ledger{poison.NewLedger(), poison.NewLedger(), poison.NewLedger()}
	tell := func(ms int) {
		for _, from := range vms {
			news := from.TakeNews()
			for _, to := range vms {
				if to != from {
					to.Told(at(ms), news)
				}
			}
		}
	}
	for i, l := range vms {
		endUnder(l, 200*i+100, fmt.Sprint("i-", i), "killer", fmt.Sprint("bystander", i))
		tell(200*i + 130)
	}
	for i, l := range vms {
		l.Tick(at(2000))
		if !banned(l, 2000, "killer") {
			t.Errorf("VM %d does not ban it", i)
		}
	}
	tell(2000)
	for _, l := range vms[1:] {
		if l.Digest() != vms[0].Digest() {
			t.Error("VMs that told each other of their bans differ")
		}
	}
	served(vms[1], 2500, "killer")
	tell(2500)
	for i, l := range vms {
		if !admitted(l, 2600, "killer") {
			t.Errorf("VM %d refuses a request that was answered", i)
		}
	}
}

// What is remembered is bounded, and what had to go is told.
func TestWhatIsRememberedIsBounded(t *testing.T) {
	l := poison.NewLedger()
	for i := range 6000 {
		endUnder(l, 200*i, fmt.Sprint("i-", i), fmt.Sprint("r-", i))
	}
	c := l.Counts()
	if c.Suspects > 4096 || c.Dropped.Suspects != 6000-c.Suspects {
		t.Errorf("6000 suspects: %+v", c)
	}
	var list []poison.Ban
	for i := range 1500 {
		list = append(list, poison.Ban{Print: printOf(fmt.Sprint("b-", i)), At: at(i).UnixMilli()})
	}
	l.Told(at(2000), poison.News{Bans: list})
	if c := l.Counts(); c.Bans != 1000 || c.Dropped.Bans != 500 {
		t.Errorf("1500 bans: %+v", c)
	}
	if banned(l, 2000, "b-0") || !banned(l, 2000, "b-1499") {
		t.Error("not the oldest bans were dropped")
	}
	dropped := 0
	for _, e := range l.TakeEvents() {
		if e.Dropped {
			dropped++
		}
	}
	if dropped != 500 {
		t.Errorf("%d dropped bans are told of, want 500", dropped)
	}
	later := start.Add(25 * time.Hour)
	l.Tick(later)
	if c := l.Counts(); c.Bans != 0 || c.Suspects != 0 {
		t.Errorf("a day later: %+v", c)
	}
}

// A ban says truly that the request has not run, and when to come back.
func TestABanIsARefusal(t *testing.T) {
	l := poison.NewLedger()
	l.Recalled(at(0), []poison.Ban{{Print: printOf("killer"), At: at(0).UnixMilli()}})
	_, refused := l.Admit(at(1000), printOf("killer"))
	if refused == nil || refused.Verdict != verdict.NotRun || refused.Reason != verdict.ReasonQuarantined {
		t.Fatalf("a banned request: %v", refused)
	}
	if !admitted(l, 1000+int(refused.RetryAfter.Milliseconds()), "killer") {
		t.Error("it is refused when it was told to come back")
	}
	if len(l.Unkept(at(1000), 0)) != 0 {
		t.Error("what the platform told has to be kept there")
	}
}

// An answer is lost at an upstream that lives, and a moment later a request ends it. What
// was lost is no sign of the end, or the request would seem to have come after it.
func TestALostAnswerIsNoSignOfTheEnd(t *testing.T) {
	for name, lives := range map[string]func(l *poison.Ledger, ms int, target string){
		"it answers another late":    func(l *poison.Ledger, ms int, target string) { l.Answered(at(ms+550), at(ms-50), target) },
		"it answers a later one":     func(l *poison.Ledger, ms int, target string) { l.Answered(at(ms+10), at(ms), target) },
		"it keeps a connection open": func(l *poison.Ledger, ms int, target string) { l.NotEnded(at(ms), target, true) },
	} {
		l := poison.NewLedger()
		for i := range 3 {
			ms, target := 1000*i, fmt.Sprint("i-", i)
			l.Broke(at(ms+50), poison.Run{Print: printOf(fmt.Sprint("lost-", i)), Target: target, Began: at(ms), Ended: at(ms + 50)})
			lives(l, ms+80, target)
			endUnder(l, ms+700, target, "killer")
		}
		l.Tick(at(5000))
		if !banned(l, 5000, "killer") {
			t.Errorf("%s: what ends upstreams that lost an answer before is not banned", name)
		}
	}
}

// A request ends an upstream, and is sent there once more before anybody knows, where
// something before it still takes connections. Of the two runs the first counts, in
// whatever order VMs tell of them; the second alone would say that it was not the cause.
func TestTheRunBeforeTheEndCounts(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		ms, target := 1000*i, fmt.Sprint("i-", i)
		trial, _ := l.Admit(at(ms), printOf("killer"))
		cause := poison.Run{Print: printOf("killer"), Target: target, Began: at(ms), Ended: at(ms + 50), Alone: trial != nil && trial.Alone, Cut: true}
		trial.Done()
		later := poison.Run{Print: printOf("killer"), Target: target, Began: at(ms + 200), Ended: at(ms + 201), Cut: true}
		l.Told(at(ms+300), poison.News{Runs: []poison.Run{later}})
		l.Told(at(ms+310), poison.News{Runs: []poison.Run{cause}})
	}
	l.Tick(at(5000))
	if !banned(l, 5000, "killer") {
		t.Error("a request that was sent once more after each end is not banned")
	}
}

// Two VMs know that a request ended two upstreams in a row, and it comes to both at the same
// moment. Each began a trial before it had heard of the other's, so that one upstream more
// ended than had to. The VMs take turns; whose turn comes later is told when.
func TestTwoVMsDoNotTryAtTheSameMoment(t *testing.T) {
	vms := make([]*poison.Ledger, 2)
	for i := range vms {
		vms[i] = poison.NewLedger(poison.WithTurn(func(time.Time, poison.Print) float64 { return float64(i) / 2 }))
		endUnder(vms[i], 1000, "i-1", "killer")
		endUnder(vms[i], 2000, "i-2", "killer")
	}
	trial, refused := vms[0].Admit(at(2100), printOf("killer"))
	if trial == nil || !trial.Alone || refused != nil {
		t.Fatalf("the first: %+v, %v; want a trial by itself", trial, refused)
	}
	other, refused := vms[1].Admit(at(2100), printOf("killer"))
	if other != nil || refused == nil || refused.RetryAfter <= 0 || refused.RetryAfter > 2*time.Second {
		t.Errorf("the second at the same moment: %+v, %v; want a refusal with when to come back", other, refused)
	}
	if other, _ := vms[1].Admit(at(3500), printOf("killer")); other == nil {
		t.Error("the second has no turn though it heard of no trial")
	}
}

// Ends show seconds late where something takes connections for upstreams that have ended.
// A look-up that all ask for is tried and answered; then the VM learns that upstreams had
// ended under it before. It was suspected again, each time, and tried again, and as it was
// under way at all upstreams that ended nobody could be banned for them. Ends after its
// answer count.
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

// Guards against a VM that bans an innocent request for ends which, as the others know, a
// banned one caused.
func TestVMsThatStartLaterBanNobodyForExplainedEnds(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		endUnder(l, 300*(i+1), fmt.Sprint("i-", i), "killer")
	}
	runs := []poison.Run{{Print: printOf("killer"), Target: "i-3", Began: at(1100), Ended: at(1200), Alone: true}}
	for i := range 3 { // Seen by another VM, the last a trial by itself.
		runs = append(runs, poison.Run{
			Print: printOf("a"), Target: fmt.Sprint("i-", i), Began: at(300*(i+1) - 100), Ended: at(300 * (i + 1)), Alone: i == 2,
		})
	}
	l.Told(at(1300), poison.News{Runs: runs})
	l.Tick(at(2000))
	if !banned(l, 2000, "killer") || banned(l, 2000, "a") {
		t.Fatal("not the killer alone is banned")
	}
	late := poison.NewLedger()
	late.Recalled(at(3000), l.Bans())
	late.Told(at(3000), l.All())
	late.Tick(at(4000))
	if banned(late, 4000, "a") {
		t.Error("the VM that starts later bans the other one too")
	}
}
