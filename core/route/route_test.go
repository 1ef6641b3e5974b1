package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"auburnlatch/core/route"
)

func table(t testing.TB, routes ...*route.Route) *route.Table {
	t.Helper()
	cfg := &route.Config{Version: 1, Services: []*route.Service{{Name: "a"}, {Name: "b"}}}
	for _, r := range routes {
		if len(r.Parts) == 0 {
			r.Parts = []route.Part{{Service: "a", Weight: 1}}
		}
		cfg.Routes = append(cfg.Routes, r)
	}
	table, err := route.NewTable(cfg)
	if err != nil {
		t.Fatalf("NewTable: %v", err)
	}
	return table
}

func TestFind(t *testing.T) {
	tbl := table(t,
		&route.Route{Name: "root", Host: "h", Prefix: "/"},
		&route.Route{Name: "x", Host: "h", Prefix: "/x/"},
		&route.Route{Name: "xy", Host: "h", Prefix: "/x/y/"},
		&route.Route{Name: "only", Host: "g", Prefix: "/only/"},
	)
	for _, tc := range []struct{ host, path, want string }{
		{"h", "/", "root"},
		{"h", "/x", "root"}, // Prefixes include the final slash.
		{"h", "/x/", "x"},
		{"h", "/x/yy/z", "x"},
		{"h", "/x/y/z", "xy"},
		{"h", "/x/y/z?q=/x/", "xy"},
		{"h:8080", "/x/1", "x"},
		{"g", "/other/", ""},
		{"g", "/only/1", "only"},
		{"nobody", "/", ""},
	} {
		got := ""
		if r := tbl.Find(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("Find(%q, %q) = %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

func TestTableRefuses(t *testing.T) {
	for name, r := range map[string]*route.Route{
		"no slash":        {Prefix: "/x", Parts: []route.Part{{Service: "a"}}},
		"no service":      {Prefix: "/x/"},
		"unknown service": {Prefix: "/x/", Parts: []route.Part{{Service: "nobody"}}},
		"negative weight": {Prefix: "/x/", Parts: []route.Part{{Service: "a", Weight: -1}, {Service: "a", Weight: 2}}},
		"no weight":       {Prefix: "/x/", Parts: []route.Part{{Service: "a"}, {Service: "a"}}},
		"not a number":    {Prefix: "/x/", Parts: []route.Part{{Service: "a", Weight: math.NaN()}, {Service: "a", Weight: 1}}},
	} {
		cfg := &route.Config{Services: []*route.Service{{Name: "a"}}, Routes: []*route.Route{r}}
		if _, err := route.NewTable(cfg); err == nil {
			t.Errorf("%s: NewTable returned no error", name)
		}
	}
}

// Operators who move a tenth of the traffic to another service must see a tenth of it move.
func TestSplitKeepsToWeights(t *testing.T) {
	for _, weights := range [][2]float64{{90, 10}, {50, 50}, {1, 3}, {0, 1}, {1, 0}, {1e-9, 1e-9}} {
		r := &route.Route{Name: "r", Prefix: "/", Parts: []route.Part{{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}}}
		rng := rand.New(rand.NewPCG(1, 0))
		const n = 2000
		got := 0
		for range n {
			if r.Pick(rng.Float64()) == "b" {
				got++
			}
		}
		want := weights[1] / (weights[0] + weights[1])
		if share := float64(got) / n; math.Abs(share-want) > 0.05 {
			t.Errorf("weights %v: b got %.3f of the requests, want %.3f", weights, share, want)
		}
	}
}

// A part of weight 0 must get nothing, also at the ends of the range of draws.
func TestPartWithoutWeightGetsNothing(t *testing.T) {
	r := &route.Route{Parts: []route.Part{{Service: "a"}, {Service: "b", Weight: 0.1}, {Service: "c", Weight: 0.2}, {Service: "d"}}}
	for draw, want := range map[float64]string{0: "b", math.Nextafter(1, 0): "c"} {
		if got := r.Pick(draw); got != want {
			t.Errorf("Pick(%v) = %q, want %q", draw, got, want)
		}
	}
}

func TestTopPriority(t *testing.T) {
	tbl := table(t, &route.Route{Name: "1", Host: "h", Prefix: "/1/", Priority: 2}, &route.Route{Name: "2", Host: "h", Prefix: "/2/", Priority: 1})
	if got := tbl.TopPriority("a"); got != 1 {
		t.Errorf("TopPriority = %d, want 1", got)
	}
}

func TestRanks(t *testing.T) {
	tbl := table(t, &route.Route{Name: "1", Host: "h", Prefix: "/1/", Priority: 2}, &route.Route{Name: "2", Host: "h", Prefix: "/2/"}, &route.Route{Name: "3", Host: "h", Prefix: "/3/", Priority: 2})
	if got := tbl.Ranks(); !slices.Equal(got, []int{0, 2}) {
		t.Errorf("Ranks = %v, want [0 2]", got)
	}
}

func manyRoutes(n int) *route.Config {
	cfg := &route.Config{Services: []*route.Service{{Name: "a"}}}
	for i := range n {
		cfg.Routes = append(cfg.Routes, &route.Route{
			Name: fmt.Sprint(i), Host: fmt.Sprintf("host%d.example", i%100), Prefix: fmt.Sprintf("/part%d/of%d/", i, i%7),
			Parts: []route.Part{{Service: "a", Weight: 1}},
		})
	}
	return cfg
}

func BenchmarkInstall10000Routes(b *testing.B) {
	cfg := manyRoutes(10_000)
	for b.Loop() {
		if _, err := route.NewTable(cfg); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFindIn10000Routes(b *testing.B) {
	tbl, err := route.NewTable(manyRoutes(10_000))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if tbl.Find("host42.example", "/part42/of0/object/17") == nil {
			b.Fatal("not found")
		}
	}
}
