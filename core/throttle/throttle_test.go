package throttle_test

import (
	"testing"
	"time"

	"auburnlatch/core/throttle"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func named(perSecond float64) throttle.Notice {
	return throttle.Notice{Kind: throttle.Named, PerSecond: perSecond}
}

func TestAnswered(t *testing.T) {
	var l throttle.Limit
	for _, step := range []struct {
		name      string
		sent, now int
		notice    throttle.Notice
		changed   bool
		limited   bool
		perSecond float64
	}{
		{"none named", 0, 10, throttle.Notice{}, false, false, 0},
		{"unreadable without a limit", 10, 20, throttle.Notice{Kind: throttle.Unreadable}, false, false, 0},
		{"named", 20, 100, named(7.5), true, true, 7.5},
		{"an answer overtaken by the word", 30, 110, throttle.Notice{}, false, true, 7.5},
		{"named again", 40, 120, named(7.5), false, true, 7.5},
		{"unreadable", 130, 140, throttle.Notice{Kind: throttle.Unreadable}, false, true, 7.5},
		{"lowered", 140, 150, named(2), true, true, 2},
		{"over", 160, 200, throttle.Notice{}, true, false, 0},
		{"named once more", 210, 220, named(1), true, true, 1},
	} {
		changed := l.Answered(at(step.now), at(step.sent), step.notice)
		perSecond, limited := l.PerSecond()
		if changed != step.changed || limited != step.limited || perSecond != step.perSecond {
			t.Fatalf("%s: changed %v, limit %v %v", step.name, changed, limited, perSecond)
		}
	}
}
