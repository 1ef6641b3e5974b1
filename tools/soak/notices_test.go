package main

import (
	"testing"
	"time"
)

// An upstream ends its limit and later announces one again. Requests that arrive in between are
// not limited, those before and after are.
func TestOverLimitCountsLimitedTimeOnly(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name        string
		from, to    int // When 60 requests arrive, in milliseconds.
		wantsBroken bool
	}{
		{"while limited", 6000, 7000, true},
		{"after the end", 8100, 8900, false},
		{"while limited again", 14000, 15000, true},
	} {
		e := &entry{vm: "v", process: "v/1"}
		g := &incarnationLog{notices: map[string][]notice{"v/1": {
			{"limit", 4, at(0)}, {"limit", 4, at(7900)}, {"limit", 0, at(8000)}, {"limit", 0, at(8900)}, {"limit", 4, at(9000)}, {"limit", 4, at(16000)},
		}}}
		for i := range 60 {
			g.arrivals = append(g.arrivals, arrival{at(tc.from + i*(tc.to-tc.from)/60), e})
		}
		if n := g.overLimit(&exemptions{}, "upstream-1"); (n > 0) != tc.wantsBroken {
			t.Errorf("%s: %d requests over the limit, want some: %v", tc.name, n, tc.wantsBroken)
		}
	}
}
