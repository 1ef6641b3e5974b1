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
			{"limit", 4, at(0), e}, {"limit", 4, at(7900), e}, {"limit", 0, at(8000), e}, {"limit", 0, at(8900), e}, {"limit", 4, at(9000), e}, {"limit", 4, at(16000), e},
		}}}
		for i := range 60 {
			g.arrivals = append(g.arrivals, arrival{at(tc.from + i*(tc.to-tc.from)/60), e})
		}
		if n := g.overLimit(&exemptions{}, "upstream-1"); (n > 0) != tc.wantsBroken {
			t.Errorf("%s: %d requests over the limit, want some: %v", tc.name, n, tc.wantsBroken)
		}
	}
}

// Guards against a VM that is blamed for requests after an announcement that it did not receive.
func TestPausesBindVMsThatHeardThem(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name     string
		canceled bool
		cut      span
		want     int
	}{
		{"the VM reads the response", false, span{}, 10},
		{"the caller has left", true, span{}, 0},
		{"another VM sends the request", false, span{at(-1000), at(100)}, 0},
		{"the VM was cut off long before", false, span{at(-9000), at(-5000)}, 10},
		{"another VM sends the later requests", false, span{at(100), at(5000)}, 0},
	} {
		x := &exemptions{spans: map[string][]span{"v" + relayed: {tc.cut}}}
		g := &incarnationLog{notices: map[string][]notice{"v/1": {{"pause", 1.5, at(0), &entry{vm: "v", process: "v/1", canceled: tc.canceled}}}}}
		for i := range 10 {
			g.arrivals = append(g.arrivals, arrival{at(600 + 10*i), &entry{vm: "v", process: "v/1"}})
		}
		if n, _, _ := g.inPause(x, "upstream-1"); n != tc.want {
			t.Errorf("%s: %d requests in the pause, want %d", tc.name, n, tc.want)
		}
	}
}
