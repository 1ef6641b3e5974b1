package throttle_test

import (
	"testing"
	"time"

	"auburnlatch/core/throttle"
)

// Guards against a VM that was suspended and sends all that its share of an upstream's limit would
// have allowed meanwhile.
func TestSuspensionSavesNoTokens(t *testing.T) {
	const perSecond = 10
	wake := start.Add(time.Hour)
	for name, c := range map[string]struct {
		place throttle.Place
		most  int
	}{
		"only VM": {throttle.Place{VMs: 1}, perSecond},
		// It knows of no response for an hour, as if no sender had had a request.
		"no sender": {throttle.Place{Rank: 30, VMs: 40}, 1},
	} {
		var l throttle.Limit
		l.Answered(at(0), at(0), named(perSecond))
		n := 0
		for l.Take(wake, c.place) && n <= c.most {
			n++
		}
		if n > c.most {
			t.Errorf("%s: over %d requests at once after an hour", name, c.most)
		}
		l.Merge(wake, throttle.Report{Limited: true, PerSecond: perSecond, Age: time.Second})
		if c.place.Rank > 0 && l.Ready(wake.Add(time.Minute/10), c.place) {
			t.Errorf("%s: it sends though others have had responses", name)
		}
	}
}
