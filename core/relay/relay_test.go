package relay_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/relay"
)

var now = time.Unix(1000, 0)

// shares returns the share of requests that each VM gets, "" for those that are refused.
func shares(s *relay.Selector, list []relay.Candidate, q relay.Query) map[string]float64 {
	const n = 10_000
	out := make(map[string]float64)
	for i := range n {
		q.ID = fmt.Sprint("request", i)
		c, _ := s.Choose(now, list, q)
		out[c.Name] += 1.0 / n
	}
	return out
}

func TestChoose(t *testing.T) {
	list := []relay.Candidate{
		{Name: "near-1", Region: "r", Spare: 300}, {Name: "near-2", Region: "r", Spare: 100}, {Name: "full", Region: "r"}, {Name: "far", Region: "q", Spare: 400},
	}
	for _, tc := range []struct {
		name   string
		q      relay.Query
		failed []string
		want   map[string]float64
	}{
		{"in proportion to spare capacity, within the region", relay.Query{Region: "r", Demand: 200}, nil, map[string]float64{"near-1": 0.75, "near-2": 0.25}},
		{"other regions if the own one cannot carry the demand", relay.Query{Region: "r", Demand: 400}, nil, map[string]float64{"near-1": 0.375, "near-2": 0.125, "far": 0.5}},
		{"what exceeds the capacity of all is refused", relay.Query{Region: "r", Demand: 1600}, nil, map[string]float64{"near-1": 0.1875, "near-2": 0.0625, "far": 0.25, "": 0.5}},
		{"only allowed regions", relay.Query{Region: "r", Demand: 100, Allowed: func(r string) bool { return r == "q" }}, nil, map[string]float64{"far": 1}},
		{"no allowed region", relay.Query{Region: "r", Allowed: func(string) bool { return false }}, nil, map[string]float64{"": 1}},
		{"not those that were tried", relay.Query{Region: "r", Demand: 50, Tried: []string{"near-1"}}, nil, map[string]float64{"near-2": 1}},
		{"not those that have failed", relay.Query{Region: "r", Demand: 50}, []string{"near-1", "near-2"}, map[string]float64{"far": 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &relay.Selector{}
			for _, name := range tc.failed {
				s.Failed(now.Add(-time.Second/2), name)
			}
			got := shares(s, list, tc.q)
			for name, want := range tc.want {
				if math.Abs(got[name]-want) > 0.02 {
					t.Errorf("share of %q is %.3f, want %.3f", name, got[name], want)
				}
			}
			if len(got) != len(tc.want) {
				t.Errorf("shares %v, want %v", got, tc.want)
			}
		})
	}
}

func TestFailedVMIsTriedAgain(t *testing.T) {
	s := &relay.Selector{}
	list := []relay.Candidate{{Name: "a", Region: "r", Spare: 1}}
	s.Failed(now, "a")
	if _, ok := s.Choose(now.Add(900*time.Millisecond), list, relay.Query{Region: "r"}); ok {
		t.Error("chosen 0.9 s after a failure")
	}
	if _, ok := s.Choose(now.Add(time.Second), list, relay.Query{Region: "r"}); !ok {
		t.Error("not chosen a second after a failure")
	}
}

// However many VMs are cut off, and whatever each sends, no VM is sent more than it can carry
// beyond its own callers' requests, but for the error of chance.
func TestNoVMIsOverloaded(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("relayed requests stay within the spare capacity", prop.ForAll(
		func(spares []float64, demand float64) string {
			var list []relay.Candidate
			for i, spare := range spares {
				list = append(list, relay.Candidate{Name: fmt.Sprint("vm", i), Region: fmt.Sprint("r", i%2), Spare: spare})
			}
			for name, share := range shares(&relay.Selector{}, list, relay.Query{Region: "r0", Demand: demand}) {
				for _, c := range list {
					if sent := share * demand; c.Name == name && sent > c.Spare+0.03*demand {
						return fmt.Sprintf("%s is sent %.0f of %.0f requests per second and has room for %.0f", name, sent, demand, c.Spare)
					}
				}
			}
			return ""
		},
		gen.SliceOfN(4, gen.Float64Range(0, 500)), gen.Float64Range(1, 3000),
	))
	properties.TestingRun(t)
}
