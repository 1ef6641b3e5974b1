package member

import (
	"testing"
	"time"
)

// Guards against look-ups that go on naming a VM which died while this one was suspended: its peers
// stay live at first, as it has heard from none of them.
func TestDeadPeerIsSilentSoonAfterOwnPause(t *testing.T) {
	tab := NewTable("a", "z1", 1, start)
	tab.Merge(at(0), []Entry{vmEntry("b", 1, 1, VM{}), vmEntry("dead", 1, 1, VM{})})
	tab.Tick(at(0.5))
	const wake = 60.5
	for i := range 12 {
		now := at(wake + float64(i)/2)
		tab.Tick(now)
		stale := vmEntry("dead", 1, 1, VM{}) // As b has it.
		stale.Stamp.Age = 59*time.Second + time.Duration(i)*time.Second/2
		tab.Merge(now, []Entry{vmEntry("b", 1, uint64(i+2), VM{}), stale})
	}
	now := at(wake + FailAfter.Seconds())
	tab.Tick(now)
	if got := stateOf(t, tab, now, "b"); got != Live {
		t.Errorf("b is %v, want Live", got)
	}
	if got := stateOf(t, tab, now, "dead"); got != Silent {
		t.Errorf("the dead VM is %v %v after the pause, want Silent", got, FailAfter)
	}
}
