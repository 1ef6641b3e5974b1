package claim

import (
	"testing"
	"time"

	"auburnlatch/core/verdict"
)

var start = time.Unix(1_700_000_000, 0)

func attempt() *Attempt {
	return New(Key{"s", "c", "k"}, "own", "digest", Holder{"vm", 1}, start.Add(time.Second))
}

func conflict(v Version, attempt string, s State, digest string) Result {
	return Result{Outcome: Conflict, Version: v, Row: Row{Attempt: attempt, State: s, Digest: digest, Answer: &Answer{Status: 201}}}
}

func TestClaimOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		results []Result // Of the writes, in order.
		want    Kind
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{name: "applied", results: []Result{{Outcome: Applied, Version: 1}}, want: Dispatch},
		{name: "not sent", results: []Result{{Outcome: NotSent}}, want: Refuse, verdict: verdict.NotRun, reason: verdict.ReasonPlatform},
		{name: "already done", results: []Result{conflict(3, "other", Done, "digest")}, want: Replay},
		{name: "claimed by another attempt", results: []Result{conflict(3, "other", Claimed, "digest")}, want: Refuse, verdict: verdict.MaybeRan, reason: verdict.ReasonInProgress},
		{name: "key of another request", results: []Result{conflict(3, "other", Done, "else")}, want: Refuse, verdict: verdict.NotRun, reason: verdict.ReasonKeyReused},
		{name: "tombstone replaced", results: []Result{conflict(3, "other", Tombstone, "digest"), {Outcome: Applied, Version: 4}}, want: Dispatch},
		{name: "row deleted meanwhile", results: []Result{conflict(0, "", Absent, ""), {Outcome: Applied, Version: 4}}, want: Dispatch},
		{name: "response lost, tombstone applied", results: []Result{{Outcome: Unknown}, {Outcome: Applied, Version: 1}}, want: Refuse, verdict: verdict.NotRun, reason: verdict.ReasonPlatform},
		{name: "response lost, own claim found", results: []Result{{Outcome: Unknown}, conflict(1, "own", Claimed, "digest")}, want: Dispatch},
		{name: "response lost, done by another attempt", results: []Result{{Outcome: Unknown}, conflict(1, "other", Done, "digest")}, want: Replay},
		{name: "both responses lost: refused at once, settling goes on", results: []Result{{Outcome: Unknown}, {Outcome: Unknown}}, want: Write, verdict: verdict.NotRun, reason: verdict.ReasonPlatform},
		{name: "refused, then own claim found: released", results: []Result{{Outcome: Unknown}, {Outcome: Unknown}, conflict(1, "own", Claimed, "digest")}, want: Write, verdict: verdict.NotRun, reason: verdict.ReasonPlatform},
		{name: "refused, then own tombstone found", results: []Result{{Outcome: Unknown}, {Outcome: Unknown}, conflict(2, "own", Tombstone, "digest")}, want: Stop},
	} {
		a := attempt()
		act := a.Start(start)
		for _, r := range tc.results {
			if act.Kind != Write {
				t.Fatalf("%s: %+v before the last write's result", tc.name, act)
			}
			act = a.Written(start, r)
		}
		if act.Kind != tc.want {
			t.Errorf("%s: action %v, want %v", tc.name, act.Kind, tc.want)
		}
		if tc.reason != "" && (act.Err == nil || act.Err.Verdict != tc.verdict || act.Err.Reason != tc.reason) {
			t.Errorf("%s: refused with %v, want %v %v", tc.name, act.Err, tc.verdict, tc.reason)
		}
	}
}

// The holder is paused between its claim and the dispatch until after its
// deadline. An operator may have resolved the claim as not run, and the caller
// may have retried; dispatching now would run the operation twice.
func TestPausedHolderReleasesClaim(t *testing.T) {
	a := attempt()
	a.Start(start)
	act := a.Written(start.Add(time.Minute), Result{Outcome: Applied, Version: 1})
	if act.Kind != Write || act.Row.State != Tombstone || act.If != 1 || act.Err == nil || act.Err.Reason != verdict.ReasonDeadline {
		t.Errorf("after the pause: %+v, want the claim released and a NotRun refusal for the deadline", act)
	}
	row := Row{State: Claimed, Deadline: a.Deadline}
	if MayResolve(start.Add(time.Minute), row) || !MayResolve(start.Add(time.Hour), row) {
		t.Errorf("an operator must be able to resolve a claim %v after its deadline, not before", MaxWriteDelay)
	}
}

func TestFinish(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer *Answer
		err    error
		want   Kind
		state  State
	}{
		{"response: stored", &Answer{Status: 201}, nil, Write, Done},
		{"not run: claim released", nil, verdict.New(verdict.NotRun, verdict.ReasonShed, 0), Write, Tombstone},
		{"may have run: claim kept", nil, verdict.New(verdict.MaybeRan, verdict.ReasonBroken, 0), Stop, Absent},
		{"ran, response incomplete: claim kept", nil, verdict.New(verdict.Ran, verdict.ReasonBroken, 0), Stop, Absent},
	} {
		a := attempt()
		a.Start(start)
		a.Written(start, Result{Outcome: Applied, Version: 5})
		act := a.Finish(start, tc.answer, tc.err)
		if act.Kind != tc.want || act.Row.State != tc.state || (act.Kind == Write && act.If != 5) {
			t.Errorf("%s: %+v, want %v of %v on version 5", tc.name, act, tc.want, tc.state)
		}
	}
}

func TestBreakerAllowsOneProbePerInterval(t *testing.T) {
	var b Breaker
	if !b.Allow(start) {
		t.Fatal("open at first")
	}
	b.Report(start, Unknown)
	allowed := 0
	for ms := range 2500 {
		if b.Allow(start.Add(time.Duration(ms) * time.Millisecond)) {
			allowed++
		}
	}
	if allowed != 2 {
		t.Errorf("%d claims allowed in 2.5 s, want 2", allowed)
	}
	b.Report(start.Add(3*time.Second), Applied)
	if !b.Allow(start.Add(3 * time.Second)) {
		t.Error("still open after a write was applied")
	}
}
