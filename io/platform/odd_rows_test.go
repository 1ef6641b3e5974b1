package platform_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/steer"
	"auburnlatch/core/verdict"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// soundInventory has three targets of a service in two zones.
func soundInventory(t testing.TB) *inventory.Inventory {
	t.Helper()
	inv, err := inventory.New(
		inventory.Op{Region: &inventory.Region{Name: "r"}},
		inventory.Op{Zone: &inventory.Zone{Name: "a", Region: "r"}}, inventory.Op{Zone: &inventory.Zone{Name: "b", Region: "r"}},
		inventory.Op{Service: &inventory.Service{Name: "s", MaxShiftPerMinute: 0.5, HeadroomFloor: 0.1, Timeout: time.Second}},
		inventory.Op{Target: soundTarget("sound-1", "a")}, inventory.Op{Target: soundTarget("sound-2", "a")}, inventory.Op{Target: soundTarget("sound-3", "b")},
	)
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func soundTarget(name, zone string) *inventory.Target {
	return &inventory.Target{Name: name, Service: "s", Zone: zone, Addr: "10.0.0.1:80", Slots: 4, MaxConnections: 8}
}

func encodedChange(ops ...*schema.Op) []byte {
	data, err := proto.Marshal(&schema.Change{Id: "odd", Ops: ops})
	if err != nil {
		panic(err)
	}
	return data
}

func putTarget(m *schema.Target) *schema.Op {
	return &schema.Op{Kind: &schema.Op_PutTarget{PutTarget: m}}
}

func putService(m *schema.Service) *schema.Op {
	return &schema.Op{Kind: &schema.Op_PutService{PutService: m}}
}

// oddChanges are changes that no VM accepts from an operator.
func oddChanges() map[string][]byte {
	odd := map[string][]byte{
		"no change": []byte("\xff\x00"),
		"empty":     nil,
		"empty op":  encodedChange(&schema.Op{}),
	}
	for _, slots := range []int32{0, -1, -4, -8, -12, math.MinInt32, 100_001, math.MaxInt32} {
		odd[fmt.Sprint("slots ", slots)] = encodedChange(putTarget(&schema.Target{Name: "odd", Service: "s", Zone: "a", Addr: "10.0.0.9:80", Slots: slots, MaxConnections: slots}))
	}
	for _, addr := range []string{"", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "[fe80::1%eth0]:80", "\x00"} {
		odd[fmt.Sprintf("address %q", addr)] = encodedChange(putTarget(&schema.Target{Name: "odd", Service: "s", Zone: "a", Addr: addr, Slots: 4}))
	}
	for _, share := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 2, 1e300} {
		odd[fmt.Sprint("shares ", share)] = encodedChange(putService(&schema.Service{Name: "s", MaxShiftPerMinute: share, MaxFailoverPerMinute: share, HeadroomFloor: share, RetryBudget: share}))
	}
	for _, d := range []*durationpb.Duration{{Seconds: math.MaxInt64}, {Seconds: math.MinInt64}, {Nanos: math.MaxInt32}, {Seconds: -1}} {
		odd[fmt.Sprint("times ", d.Seconds, d.Nanos)] = encodedChange(
			putService(&schema.Service{Name: "s", Timeout: d, MaxQueueWait: d}),
			&schema.Op{Kind: &schema.Op_PutLink{PutLink: &schema.Link{From: "a", To: "b", RoundTrip: d, MaxConcurrent: math.MinInt32}}},
		)
	}
	odd["zone without a region"] = encodedChange(&schema.Op{Kind: &schema.Op_PutZone{PutZone: &schema.Zone{Name: "a", Region: "none"}}})
	odd["unnamed items"] = encodedChange(putTarget(&schema.Target{}), putService(&schema.Service{}), &schema.Op{Kind: &schema.Op_PutZone{PutZone: &schema.Zone{}}})
	return odd
}

var errDown = verdict.New(verdict.NotRun, verdict.ReasonUnreachable, 0)

// offers sends n requests through a pool with all slots of zone a. Only the sound targets answer. It
// returns how many requests each target got.
func offers(t *testing.T, inv *inventory.Inventory, n int) map[string]int {
	t.Helper()
	now := time.Unix(100, 0)
	pool := dispatch.NewPool("vm")
	view := dispatch.View{Targets: inv.ZoneTargets("a"), Services: inv.Services, Live: []string{"vm"}, Synced: true, Drained: make(map[string]bool)}
	for _, target := range view.Targets {
		view.Drained[target.Name] = inv.TargetDrained(target)
	}
	got := make(map[string]int)
	for i := range n {
		now = now.Add(10 * time.Millisecond)
		view.Seq++
		pool.Tick(now, view)
		target, ok := pool.Offer(now, "s")
		if !ok {
			if i > 1 && view.Targets != nil {
				if _, err := pool.Queue(now, "s", now.Add(time.Second)); err == nil {
					t.Fatalf("request %d waits though no other has a slot", i)
				}
			}
			continue
		}
		got[target.Name]++
		sample := dispatch.Sample{Took: time.Millisecond}
		if target.Addr != "10.0.0.1:80" {
			sample.Err = errDown
		}
		pool.Done(now.Add(time.Millisecond), target.Name, sample)
	}
	for _, s := range pool.Services(now) {
		if s.Slots < 0 {
			t.Errorf("service %q has %d slots", s.Service, s.Slots)
		}
	}
	return got
}

// checkWeights checks the weights of each service.
func checkWeights(t *testing.T, inv *inventory.Inventory) {
	t.Helper()
	var cache steer.PathCache
	paths := cache.Paths(inv)
	for _, s := range inv.Services {
		limit := steer.Limit{Cap: s.MaxShiftPerMinute, FailoverCap: s.MaxFailoverPerMinute}
		for origin, weights := range steer.Solve(steer.RegisteredProblem(inv, paths, s)) {
			var row steer.Row
			row.Move(time.Unix(100, 0), steer.Weights{"a": 1}, limit)
			row.Move(time.Unix(200, 0), weights, limit)
			for _, list := range []steer.Weights{weights, row.Weights()} {
				sum := 0.0
				for zone, w := range list {
					if !(w >= 0 && w <= 1+1e-6) {
						t.Errorf("service %q: weight %v of zone %q for callers of %q", s.Name, w, zone, origin)
					}
					sum += w
				}
				if len(list) > 0 && math.Abs(sum-1) > 1e-6 {
					t.Errorf("service %q: weights %v for callers of %q", s.Name, list, origin)
				}
			}
		}
	}
}

// FuzzStoredChange checks, from a stored change to the choice of an upstream, that no change which
// another writer stored takes away the slots of the sound upstreams or makes weights that are none.
func FuzzStoredChange(f *testing.F) {
	for _, data := range oddChanges() {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &schema.Change{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		change, err := wire.Change(m)
		if err != nil {
			return
		}
		before := soundInventory(t)
		change.Based = before.Version
		inv, err := before.ApplyUnchecked(change)
		if err != nil {
			return
		}
		checkWeights(t, inv)
		steer.NewLookups(nil, inv, nil, "a")
		const n = 100
		sound := inv.Service("s") != nil
		for _, name := range []string{"sound-1", "sound-2"} {
			target := inv.Target(name)
			sound = sound && target != nil && *target == *before.Target(name) && !inv.TargetDrained(target) && !inv.ZoneDrained("a")
		}
		got := offers(t, inv, n)
		if sound && got["sound-1"]+got["sound-2"] < n/3 {
			t.Errorf("change %v: requests by target: %v", m, got)
		}
		for _, target := range inv.Targets {
			if got[target.Name] > 0 && (target.Slots < 1 || target.Service != "s") {
				t.Errorf("change %v: %+v got requests", m, target)
			}
		}
		inv.Check()
	})
}
