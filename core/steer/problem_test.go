package steer

import (
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
)

// All VMs of all zones start together. For some seconds no zone has any slots in
// force. If such zones counted as lost, each zone's callers would be moved to
// the zone that comes up first, at the failover cap, and back at the ordinary
// cap minutes later. In the demo that moved 30 % of every zone's traffic after a
// start.
func TestZonesThatStartAreNotLost(t *testing.T) {
	inv, err := inventory.New(
		inventory.Op{Zone: &inventory.Zone{Name: "z1"}},
		inventory.Op{Service: &inventory.Service{Name: "s"}},
		inventory.Op{Target: &inventory.Target{Name: "t", Service: "s", Zone: "z1", Slots: 4}},
	)
	if err != nil {
		t.Fatal(err)
	}
	load := func(slots, settled int) *member.Load {
		return &member.Load{Zone: "z1", Settled: settled, Services: []member.ServiceLoad{{Service: "s", Slots: slots}}}
	}
	for _, tc := range []struct {
		name       string
		load       *member.Load
		age        time.Duration
		sinceStart time.Duration
		want       float64
	}{
		{"no report, this VM just started", nil, 0, time.Second, 4},
		{"no report, this VM started long ago", nil, 0, time.Hour, 0},
		{"its VMs and this VM just started", load(0, 0), 0, time.Second, 4},
		{"its VMs still have no slots long after the start", load(0, 0), 0, time.Hour, 0},
		{"its VMs are settled and its upstreams are down", load(0, 2), 0, time.Second, 0},
		{"recent report", load(3, 2), 0, time.Hour, 3},
		{"old report", load(3, 2), time.Minute, time.Hour, 0},
	} {
		views := []member.ZoneView{{Zone: "z1", Load: tc.load, LoadAge: tc.age}}
		p := ProblemFor(inv, nil, inv.Services[0], views, tc.sinceStart)
		if got := p.Supplies[0].Slots; got != tc.want {
			t.Errorf("%s: %v slots, want %v", tc.name, got, tc.want)
		}
		if got := p.Lost()["z1"]; got != (tc.want == 0) {
			t.Errorf("%s: lost %t", tc.name, got)
		}
	}
}
