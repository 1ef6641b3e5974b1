package main

import (
	"testing"
	"time"

	"auburnlatch/platform/standin"
)

// Guards against a burst at a cold upstream that passes as it spans two seconds of the clock.
func TestDensestWindowSlides(t *testing.T) {
	start := time.Unix(100, 0)
	var list []time.Time
	for _, ms := range []int{0, 800, 900, 1000, 1100, 1200, 3000} {
		list = append(list, start.Add(time.Duration(ms)*time.Millisecond))
	}
	most := densest(list, func(t time.Time) time.Time { return t })
	if len(most) != 5 || !most[0].Equal(list[1]) {
		t.Errorf("the densest second has %d elements from %v on, want 5 from %v on", len(most), most[0], list[1])
	}
}

// Guards against VMs that are held to what they could not know: an upstream that goes on running
// turned cold, and its registration has not reached them.
func TestKnowable(t *testing.T) {
	since := time.Unix(100, 0)
	after := func(d time.Duration) time.Time { return since.Add(d) }
	v := &vm{process: &process{name: "vm-0", started: []time.Time{after(-time.Minute), after(time.Second)}}}
	for _, tt := range []struct {
		name      string
		process   string
		told      time.Time
		hidden    bool
		takenBack bool
		want      bool
	}{
		{name: "started cold", process: "vm-0/1", told: since, hidden: true, want: true},
		{name: "not registered", process: "vm-0/1"},
		{name: "registered just now", process: "vm-0/1", told: after(1900 * time.Millisecond)},
		{name: "registered", process: "vm-0/1", told: after(400 * time.Millisecond), want: true},
		{name: "registered, the store away", process: "vm-0/1", told: after(400 * time.Millisecond), hidden: true},
		{name: "the VM started later", process: "vm-0/2", hidden: true, want: true},
		{name: "evacuation taken back", process: "vm-0/1", takenBack: true, want: true},
	} {
		f := &fleet{vms: []*vm{v}, ledger: newLedger()}
		if tt.hidden {
			f.exemptions.spans = map[string][]span{storeName: {{since, after(standin.ColdStart)}}}
		}
		if tt.takenBack {
			f.ledger.recordTakenBack("upstream-1", after(time.Second))
		}
		a := coldArrival{at: after(2 * time.Second), told: tt.told, e: &entry{vm: "vm-0", process: tt.process}}
		if got := f.ledger.knowable(f, coldKey{"i-1-1-0", since.UnixNano()}, a); got != tt.want {
			t.Errorf("%s: the VM could know it: %v, want %v", tt.name, got, tt.want)
		}
	}
}
