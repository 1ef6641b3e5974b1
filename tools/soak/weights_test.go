package main

import (
	"testing"
	"time"
)

func TestJudgeShare(t *testing.T) {
	for _, tc := range []struct {
		name     string
		n, other int
		broken   bool
	}{
		{"as weighted", 400, 200, false},
		{"a little off", 200, 70, false},
		{"far off", 200, 50, true},
		{"off, of many", 400, 150, true},
		{"too few", 199, 0, false},
	} {
		if got := judgeShare(2, tc.n, tc.other); (got != "") != tc.broken {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}

// Only requests while a single version can be in force may be judged.
func TestJudgeSplitsBetweenVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	versions := []version{{1, at(0), at(0)}, {2, at(20), at(20)}}
	for _, tc := range []struct {
		name   string
		sent   time.Time
		broken int
	}{
		{"while the first is coming into force", at(3), 0},
		{"in force", at(10), 1},
		{"while the second is coming into force", at(25), 0},
		{"after all faults", at(31), 1},
	} {
		l := newLedger()
		for i := range 400 {
			l.entries[string(rune(i))] = &entry{split: true, arrivals: 1, at: tc.sent}
		}
		if got := l.judgeSplits(versions, at(30)); len(got) != tc.broken {
			t.Errorf("%s: %q", tc.name, got)
		}
	}
}
