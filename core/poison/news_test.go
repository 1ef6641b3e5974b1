package poison_test

import (
	"fmt"
	"testing"
	"time"

	"auburnlatch/core/poison"
)

// Guards against VMs that only count the crashes that they saw themselves.
func TestVMsPropagateCrashesAndBans(t *testing.T) {
	vms := []*poison.Ledger{poison.NewLedger(), poison.NewLedger(), poison.NewLedger()}
	propagate := func(ms int) {
		for _, from := range vms {
			news := from.TakeNews()
			for _, to := range vms {
				if to != from {
					to.MergeNews(at(ms), news)
				}
			}
		}
	}
	for i, l := range vms {
		crash(l, 200*i+100, fmt.Sprint("i-", i), "killer", fmt.Sprint("bystander", i))
		propagate(200*i + 130)
	}
	for i, l := range vms {
		l.Tick(at(2000))
		if !banned(l, 2000, "killer") {
			t.Errorf("VM %d does not ban it", i)
		}
	}
	propagate(2000)
	for _, l := range vms[1:] {
		if l.Digest() != vms[0].Digest() {
			t.Error("digests differ after the VMs exchanged their bans")
		}
	}
	answerAndSurvive(vms[1], 2500, "killer")
	propagate(2500)
	for i, l := range vms {
		if !admitted(l, 2600, "killer") {
			t.Errorf("VM %d rejects a request that was answered", i)
		}
	}
}

// Guards against two VMs that try a request at the same moment.
func TestTwoVMsDoNotTryAtTheSameMoment(t *testing.T) {
	vms := make([]*poison.Ledger, 2)
	for i := range vms {
		vms[i] = poison.NewLedger(poison.WithTrialOffset(func(time.Time, poison.Print) float64 { return float64(i) / 2 }))
		crash(vms[i], 1000, "i-1", "killer")
		crash(vms[i], 2000, "i-2", "killer")
	}
	trial, refused := vms[0].Admit(at(2100), printOf("killer"))
	if trial == nil || !trial.Alone || refused != nil {
		t.Fatalf("the first: %+v, %v; want an exclusive trial", trial, refused)
	}
	other, refused := vms[1].Admit(at(2100), printOf("killer"))
	if other != nil || refused == nil || refused.RetryAfter <= 0 || refused.RetryAfter > 2*time.Second {
		t.Errorf("the second at the same moment: %+v, %v; want a rejection with RetryAfter", other, refused)
	}
	if other, _ := vms[1].Admit(at(3500), printOf("killer")); other == nil {
		t.Error("the second may not start a trial later, though it learned of no other trial")
	}
}

// Guards against a VM that starts later and bans an innocent request for crashes that the
// others attribute to a banned one.
func TestStartingVMBansNobodyForAttributedCrashes(t *testing.T) {
	l := poison.NewLedger()
	for i := range 3 {
		crash(l, 300*(i+1), fmt.Sprint("i-", i), "killer")
	}
	runs := []poison.Run{{Print: printOf("killer"), Target: "i-3", Began: at(1100), Ended: at(1200), Alone: true}}
	for i := range 3 { // Seen by another VM, the last an exclusive trial.
		runs = append(runs, poison.Run{
			Print: printOf("a"), Target: fmt.Sprint("i-", i), Began: at(300*(i+1) - 100), Ended: at(300 * (i + 1)), Alone: i == 2,
		})
	}
	l.MergeNews(at(1300), poison.News{Runs: runs})
	l.Tick(at(2000))
	if !banned(l, 2000, "killer") || banned(l, 2000, "a") {
		t.Fatal("want a ban of the poison request alone")
	}
	late := poison.NewLedger()
	late.Restore(at(3000), l.Bans())
	late.MergeNews(at(3000), l.Snapshot())
	late.Tick(at(4000))
	if banned(late, 4000, "a") {
		t.Error("the VM that starts later also bans the innocent request")
	}
}
