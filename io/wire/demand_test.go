package wire_test

import (
	"reflect"
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// Guards against reports that lose what is known of ended processes on the way.
func TestReportSurvivesTheWire(t *testing.T) {
	want := ratelimit.Report{
		Demands: []ratelimit.Demand{{Team: 7, PerSecond: 12.5, Sent: 40, Known: 300, KnownAge: 1250 * time.Millisecond}, {Team: 9, PerSecond: 1}},
		Up:      3 * time.Second, Continued: true,
	}
	if got := wire.Report(wire.FromReport(want, true)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against reports of earlier builds, which do not tell what they know or their age, being
// left out.
func TestReportOfEarlierBuild(t *testing.T) {
	m := &schema.TeamDemand{Teams: []uint32{7}, Rates: []uint32{12_500}, Sent: []uint32{40}}
	want := ratelimit.Report{Demands: []ratelimit.Demand{{Team: 7, PerSecond: 12.5, Sent: 40}}}
	if got := wire.Report(m); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
