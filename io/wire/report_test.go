package wire_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/throttle"
	"auburnlatch/io/wire"
)

func TestReportsRoundTrip(t *testing.T) {
	list := []balance.Report{
		{Target: "a", Born: 7, Limit: &throttle.Report{Limited: true, PerSecond: 7.5, Age: 40 * time.Millisecond}},
		{Target: "b", Limit: &throttle.Report{Age: math.MaxUint32 * time.Millisecond}, Leaving: true},
		{Target: "c", Leaving: true},
	}
	if got := wire.Reports(wire.FromReports(list)); !reflect.DeepEqual(got, list) {
		t.Errorf("%+v, want %+v", got, list)
	}
}
