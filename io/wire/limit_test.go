package wire_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/throttle"
	"auburnlatch/io/wire"
)

func TestLimitsTravel(t *testing.T) {
	list := []balance.LimitReport{
		{Target: "a", Born: 7, Report: throttle.Report{Limited: true, PerSecond: 7.5, Age: 40 * time.Millisecond}},
		{Target: "b", Report: throttle.Report{Age: math.MaxUint32 * time.Millisecond}},
	}
	if got := wire.Limits(wire.FromLimits(list)); !slices.Equal(got, list) {
		t.Errorf("%+v, want %+v", got, list)
	}
}
