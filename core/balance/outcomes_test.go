package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

func always(bool) bool { return true }

// newSharingVM returns a VM that shares outcomes, in a region with n targets.
func newSharingVM(name string, n int) *balance.Balancer {
	b := balance.New(name, "north", "north-0")
	b.SetTargets(newTargets(4, map[string]int{"north": n}))
	b.SetSynced()
	b.SetSharing(always)
	return b
}

// fail has the target of the key fail one request of the VM.
func fail(t *testing.T, b *balance.Balancer, now time.Time, key string) string {
	t.Helper()
	l := choose(t, b, now, balance.Request{Key: key})
	b.Done(now, l, balance.Outcome{Unanswered: true, Failed: true})
	return l.Target.ID
}

// evidenceOf is the evidence of a request that has just failed.
func evidenceOf(ids ...string) []balance.Evidence {
	var list []balance.Evidence
	for _, id := range ids {
		list = append(list, balance.Evidence{Target: id, SentAge: 2 * time.Second, Age: 10 * time.Millisecond})
	}
	return list
}

func dumpOf(t *testing.T, b *balance.Balancer, now time.Time, id string) balance.TargetState {
	t.Helper()
	for _, d := range b.Dump(now) {
		if d.ID == id {
			return d
		}
	}
	t.Fatalf("no target %s", id)
	return balance.TargetState{}
}

// An upstream stops answering. A VM whose first request failed must not lose a second one once it
// has heard that another VM's failed as well.
func TestOwnFailureAndAnotherVMsEject(t *testing.T) {
	for _, ownFirst := range []bool{true, false} {
		b := newSharingVM("vm", 6)
		id := choose(t, b, start, balance.Request{Key: "k"}).Target.ID
		if ownFirst {
			fail(t, b, start, "k")
		}
		ejected := b.MergeEvidence(start, "other", evidenceOf(id))
		if !ownFirst {
			fail(t, b, start, "k")
		}
		if ownFirst != (len(ejected) == 1) {
			t.Errorf("own failure first %v: ejections by the other VM's word: %+v", ownFirst, ejected)
		}
		if d := dumpOf(t, b, start, id); !d.Suspect || d.Blaming != 2 {
			t.Errorf("own failure first %v: not ejected: %+v", ownFirst, d)
		}
	}
}

// Two VMs lose requests at an upstream to which a third has sent nothing yet.
func TestTwoOtherVMsEject(t *testing.T) {
	b := newSharingVM("vm", 6)
	b.MergeEvidence(start, "a", evidenceOf("north-1"))
	if got := b.MergeEvidence(start, "a", evidenceOf("north-1")); len(got) > 0 {
		t.Errorf("ejected by one VM's repeated word: %+v", got)
	}
	if got := b.MergeEvidence(start, "b", evidenceOf("north-1")); len(got) != 1 || got[0].VMs != 2 {
		t.Errorf("two VMs' words: %+v, want an ejection", got)
	}
}

// One VM's word, whatever it says and however often, must not take away an upstream that answers
// all of this VM's own requests.
func TestOneVMAloneEjectsNothing(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("no ejection", prop.ForAll(func(ages []int, withdrawn []bool, own []bool) bool {
		b := newSharingVM("vm", 12)
		now := start
		for i, age := range ages {
			now = now.Add(70 * time.Millisecond)
			if len(own) > 0 && own[i%len(own)] {
				l := choose(t, b, now, balance.Request{Key: fmt.Sprint(i)})
				answered(b, now.Add(time.Millisecond), l)
			}
			e := balance.Evidence{
				Target: fmt.Sprint("north-", i%5), Answered: len(withdrawn) > 0 && withdrawn[i%len(withdrawn)],
				Age: time.Duration(age) * time.Millisecond, SentAge: time.Duration(2*age) * time.Millisecond,
			}
			if len(b.MergeEvidence(now, "liar", []balance.Evidence{e})) > 0 {
				return false
			}
		}
		for _, d := range b.Dump(now) {
			if d.Suspect {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(-100, 9000)), gen.SliceOf(gen.Bool()), gen.SliceOf(gen.Bool())))
	properties.TestingRun(t)
}

// A VM with bad links, or one that lies, tells that all upstreams fail. Its word must count for
// none, also beside that of a VM which has really lost a request.
func TestVMThatBlamesAllIsIgnored(t *testing.T) {
	b := newSharingVM("vm", 6)
	var all []string
	for i := range 6 {
		all = append(all, fmt.Sprint("north-", i))
	}
	b.MergeEvidence(start, "liar", evidenceOf(all...))
	if got := b.MergeEvidence(start, "honest", evidenceOf("north-1")); len(got) > 0 {
		t.Errorf("ejected: %+v", got)
	}
}

// An own answer to a request that was sent after the others' outweighs their evidence.
func TestOwnAnswerOutweighsEvidence(t *testing.T) {
	b := newSharingVM("vm", 6)
	l := choose(t, b, start, balance.Request{Key: "k"})
	b.Done(start.Add(100*time.Millisecond), l, balance.Outcome{Answered: true})
	now := start.Add(time.Second)
	for _, vm := range []string{"a", "b", "c"} {
		if got := b.MergeEvidence(now, vm, evidenceOf(l.Target.ID)); len(got) > 0 {
			t.Errorf("ejected by requests sent a second before the own one that was answered: %+v", got)
		}
	}
}

// The work of a few requests takes longer than their time at any upstream. One that has answered a
// request sent later must not be told of as failing.
func TestLongWorkIsNoEvidence(t *testing.T) {
	b := newSharingVM("vm", 6)
	long := choose(t, b, start, balance.Request{Key: "k"})
	later := choose(t, b, start.Add(time.Second), balance.Request{Key: "k"})
	if long.Target != later.Target {
		t.Fatal("not at one upstream")
	}
	answered(b, start.Add(1300*time.Millisecond), later)
	now := start.Add(2 * time.Second)
	b.Done(now, long, balance.Outcome{Unanswered: true, Expired: true})
	if got := b.Evidence(now, time.Second); len(got) > 0 {
		t.Errorf("told: %+v", got)
	}
}

// Evidence is late, comes in the wrong order, or is of another incarnation.
func TestOutdatedEvidenceIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name   string
		second balance.Evidence
	}{
		{"too old", balance.Evidence{Target: "north-1", SentAge: 6 * time.Second, Age: 5 * time.Second}},
		{"from the future", balance.Evidence{Target: "north-1", SentAge: time.Second, Age: -time.Second}},
		{"ended before it was sent", balance.Evidence{Target: "north-1", SentAge: 10 * time.Millisecond, Age: time.Second}},
		{"of another incarnation", balance.Evidence{Target: "north-1", Born: 7, SentAge: time.Second}},
		{"not registered", balance.Evidence{Target: "gone", SentAge: time.Second}},
	} {
		b := newSharingVM("vm", 6)
		b.MergeEvidence(start, "a", evidenceOf("north-1"))
		if got := b.MergeEvidence(start, "b", []balance.Evidence{c.second}); len(got) > 0 {
			t.Errorf("%s: ejected", c.name)
		}
	}
	b := newSharingVM("vm", 6)
	b.MergeEvidence(start, "a", evidenceOf("north-1"))
	b.MergeEvidence(start, "b", []balance.Evidence{{Target: "north-1", Answered: true, SentAge: time.Second}})
	if got := b.MergeEvidence(start, "b", evidenceOf("north-1")); len(got) > 0 {
		t.Error("ejected by a word that its VM had withdrawn before")
	}
}

// An upstream recovers. A VM that ejected it uses it again once another VM's request, sent after
// all that failed, is answered, and else gets trial requests only until one is answered.
func TestRecoveredTargetIsUsedAgain(t *testing.T) {
	for _, told := range []bool{true, false} {
		b := newSharingVM("vm", 6)
		id := fail(t, b, start, "k")
		b.MergeEvidence(start, "a", evidenceOf(id))
		now := start.Add(300 * time.Millisecond)
		if l := choose(t, b, now, balance.Request{Key: "k", Idempotent: true}); l.Target.ID == id {
			t.Fatal("not ejected")
		}
		if told {
			b.MergeEvidence(now, "a", []balance.Evidence{{Target: id, Answered: true, SentAge: 200 * time.Millisecond}})
			if l := choose(t, b, now, balance.Request{Key: "k"}); l.Target.ID != id {
				t.Error("not used after another VM's trial was answered")
			}
			continue
		}
		now = start.Add(2100 * time.Millisecond) // An ejection of one second, with its jitter.
		if l := choose(t, b, now, balance.Request{Key: "k"}); l.Target.ID == id {
			t.Error("a request that is not idempotent was a trial")
		}
		trial := choose(t, b, now, balance.Request{Key: "k", Idempotent: true})
		if trial.Target.ID != id {
			t.Fatal("no trial")
		}
		if l := choose(t, b, now, balance.Request{Key: "k", Idempotent: true}); l.Target.ID == id {
			t.Error("a second request was sent during the trial")
		}
		answered(b, now.Add(100*time.Millisecond), trial)
		if l := choose(t, b, now.Add(100*time.Millisecond), balance.Request{Key: "k"}); l.Target.ID != id {
			t.Error("not used after the own trial was answered")
		}
	}
}

// A service that takes no idempotent requests has no trials. Its upstreams must be used again.
func TestProbationEnds(t *testing.T) {
	b := newSharingVM("vm", 6)
	id := fail(t, b, start, "k")
	b.MergeEvidence(start, "a", evidenceOf(id))
	if l := choose(t, b, start.Add(5*time.Second), balance.Request{Key: "k"}); l.Target.ID != id {
		t.Error("still not used after five seconds")
	}
}

// An upstream restarts under the same ID while others' evidence against it counts.
func TestEvidenceDoesNotOutliveIncarnation(t *testing.T) {
	b := newSharingVM("vm", 6)
	b.MergeEvidence(start, "a", evidenceOf("north-1"))
	targets := newTargets(4, map[string]int{"north": 6})
	for _, x := range targets {
		x.Born = 2
	}
	b.ChangeTargets([]*target.Target{targets[1]}, nil)
	b.MergeEvidence(start, "a", evidenceOf("north-1"))
	b.MergeEvidence(start, "b", evidenceOf("north-1"))
	if d := dumpOf(t, b, start, "north-1"); d.Suspect || d.Blaming > 0 {
		t.Errorf("the new incarnation is blamed: %+v", d)
	}
}

// The VM's own links were disturbed: what failed meanwhile must neither count nor be told.
func TestForgottenFailuresAreNotTold(t *testing.T) {
	b := newSharingVM("vm", 6)
	id := fail(t, b, start, "k")
	if got := b.Evidence(start, time.Second); len(got) != 1 || got[0].Target != id {
		t.Fatalf("%+v, want evidence of %s", got, id)
	}
	b.MergeEvidence(start, "a", evidenceOf(id))
	b.ForgetFailures(start)
	if got := b.Evidence(start, time.Second); len(got) > 0 {
		t.Errorf("told: %+v", got)
	}
	if d := dumpOf(t, b, start, id); d.Suspect || d.Blaming > 0 {
		t.Errorf("not forgotten: %+v", d)
	}
}

// What is told grows with what fails, not with what exists, and nothing is told where outcomes are
// not shared.
func TestOnlyFailuresAreTold(t *testing.T) {
	b := newSharingVM("vm", 200)
	for i := range 400 {
		answered(b, start, choose(t, b, start, balance.Request{Key: fmt.Sprint(i)}))
	}
	if got := b.Evidence(start, time.Second); len(got) > 0 {
		t.Errorf("told without a failure: %+v", got)
	}
	id := fail(t, b, start, "k")
	if got := b.Evidence(start, time.Second); len(got) != 1 {
		t.Errorf("told after one failure: %+v", got)
	}
	now := start.Add(500 * time.Millisecond)
	l := choose(t, b, now, balance.Request{Key: "k"})
	if l.Target.ID != id {
		t.Fatal("ejected by one failure")
	}
	answered(b, now.Add(time.Millisecond), l)
	if got := b.Evidence(now.Add(time.Millisecond), time.Second); len(got) != 1 || !got[0].Answered {
		t.Errorf("told after a later answer: %+v, want its withdrawal", got)
	}
	b.SetSharing(func(paced bool) bool { return paced })
	fail(t, b, now, "k")
	if got := b.Evidence(now, time.Second); len(got) > 0 {
		t.Errorf("told of a service whose upstreams report no pace: %+v", got)
	}
}
