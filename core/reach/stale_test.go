package reach

import (
	"testing"
	"time"
)

// Guards against a VM that was suspended during a check and takes the contacts that timed out
// meanwhile, or the silence meanwhile, for lost links.
func TestCheckAcrossSuspensionSaysNothing(t *testing.T) {
	for _, c := range []Contact{None, Accepted, Open} {
		m := answering()
		m.Begin(at(0))
		if got := m.Checked(at(time.Minute), at(450*ms), c, 3); got != Unchanged || m.CutOff() {
			t.Errorf("contact %v: %v, cut off %t; want unchanged", c, got, m.CutOff())
		}
		m.Begin(at(time.Minute))
		if wait, due := m.CheckDue(at(time.Minute)); due || wait > checkPause {
			t.Errorf("contact %v: next check after %v, due %t; want one soon", c, wait, due)
		}
		if got := m.Checked(at(time.Minute+600*ms), at(time.Minute+500*ms), None, 3); got != Lost {
			t.Errorf("contact %v: %v by a check after the suspension, want lost", c, got)
		}
	}
}

// Guards against a verdict from before a suspension: the VM must look again at once, and requests
// that failed before must not count against upstreams.
func TestCutOffFromBeforeSuspensionIsCheckedAtOnce(t *testing.T) {
	m := answering()
	m.Begin(at(0))
	if m.Checked(at(2*time.Second), at(time.Second), None, 3) != Lost {
		t.Fatal("not cut off")
	}
	wake := at(time.Hour)
	if _, due := m.CheckDue(wake); !due {
		t.Error("no check is due after the suspension")
	}
	if got := m.Checked(wake.Add(10*ms), wake, Heard, 2); got != Regained {
		t.Errorf("%v after a response, want regained", got)
	}
	if !m.Disturbed(at(time.Second)) {
		t.Error("what failed before the suspension counts")
	}
}
