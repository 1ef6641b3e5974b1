package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/admission"
)

var start = time.Unix(1000, 0)

const service = "s"

// request returns a request of a rank whose objective is untouched.
func request(priority int, objective time.Duration) admission.Request {
	return admission.Request{Service: service, Rank: admission.Rank{Priority: priority}, ID: "id", Objective: objective, Within: objective}
}

var (
	change = request(0, 400*time.Millisecond)
	page   = request(1, 500*time.Millisecond)
	upload = request(2, 1200*time.Millisecond)
)

// observe records n requests, of which a fraction is sent and takes 150 ms.
func observe(c *admission.Controller, now time.Time, req admission.Request, n int, sent float64) {
	for i := range n {
		req.ID = fmt.Sprint(i)
		c.Record(now, req, c.Decide(now, 1.5, req), float64(i) < sent*float64(n))
		c.Answered(now, req, 150*time.Millisecond)
	}
}

func TestRoomIsReservedOnlyForTrafficOfHigherRanks(t *testing.T) {
	for _, tc := range []struct {
		name             string
		changes, uploads int
		utilization      float64
		want             float64
	}{
		{"no higher rank has traffic", 0, 30, 1.5, admission.MaxDepth},
		{"a higher rank has a third", 10, 20, 1.5, admission.SharedDepth - 1.0/3},
		{"a higher rank has two thirds", 20, 10, 1.5, admission.SharedDepth - 2.0/3},
		{"slots are idle on average", 20, 10, 0.9, admission.SharedDepth},
		{"the load of the upstreams is unknown", 20, 10, 0, admission.SharedDepth},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c admission.Controller
			observe(&c, start, change, tc.changes, 1)
			observe(&c, start, upload, tc.uploads, 1)
			if got := c.Decide(start, tc.utilization, upload).Depth; got < tc.want-0.01 || got > tc.want+0.01 {
				t.Errorf("depth %.3f, want %.3f", got, tc.want)
			}
		})
	}
}

// Work that takes longer than urgent requests can wait must not queue in front of them.
func TestSlowWorkLeavesNoQueueForUrgentRequests(t *testing.T) {
	var c admission.Controller
	observe(&c, start, change, 10, 1)
	observe(&c, start, upload, 30, 1)
	for range 100 {
		c.Answered(start, upload, 700*time.Millisecond)
	}
	if got := c.Decide(start, 1.5, upload).Depth; got != admission.MinDepth {
		t.Errorf("depth %.2f, want %.2f", got, admission.MinDepth)
	}
}

func TestStarvedRankGetsWhatHigherRanksGet(t *testing.T) {
	var c admission.Controller
	observe(&c, start, change, 60, 1)
	observe(&c, start, upload, 20, 0.1)
	for _, req := range []admission.Request{change, upload} {
		if got := c.Decide(start, 1.5, req).Depth; got != admission.SharedDepth {
			t.Errorf("priority %d: depth %.2f, want %.2f", req.Rank.Priority, got, admission.SharedDepth)
		}
	}
	later := start.Add(time.Second)
	observe(&c, later, upload, 40, 1)
	if got, top := c.Decide(later, 1.5, upload).Depth, c.Decide(later, 1.5, change).Depth; got >= top {
		t.Errorf("depth %.2f of a rank that is not starved any more, %.2f of the highest", got, top)
	}
}

// Guards against a team at three times its usual that takes the depth of teams within their shares.
func TestTeamAboveItsShareIsRefusedFirst(t *testing.T) {
	var c admission.Controller
	hot, usual := page, page
	hot.Use, usual.Use = 1.1, 0.625
	observe(&c, start, hot, 60, 0.7)
	observe(&c, start, usual, 60, 0.9)
	above := 0
	for i := range 200 {
		hot.ID, usual.ID = fmt.Sprint("hot", i), fmt.Sprint("usual", i)
		d, u := c.Decide(start, 1.5, hot), c.Decide(start, 1.5, usual)
		if u.AboveShare {
			t.Fatal("a team below the level is above its share")
		}
		if d.AboveShare {
			above++
			if d.Depth >= u.Depth {
				t.Fatalf("depth %.2f of a request above its team's share, %.2f of one within", d.Depth, u.Depth)
			}
		}
	}
	// A fifth of 120 requests was refused, so 24 of the hot team's 60 are above its share.
	if above < 60 || above > 110 {
		t.Errorf("%d of 200 requests of the hot team are above its share, want about 80", above)
	}
}

// Failure: no totals of the teams' demand are received, so that uses are unknown.
func TestUnknownUseHasTheDepthOfItsRank(t *testing.T) {
	var c admission.Controller
	hot := page
	hot.Use = 1.1
	observe(&c, start, hot, 60, 0.5)
	if d := c.Decide(start, 1.5, page); d.AboveShare {
		t.Errorf("a request of unknown use is above a share: %+v", d)
	}
}

// Failure: a VM has just started and knows no demand. The balancer's default applies.
func TestVMThatHasJustStartedDecidesAsWithoutAdmission(t *testing.T) {
	var c admission.Controller
	if d := c.Decide(start, 1.5, upload); d != (admission.Decision{}) {
		t.Errorf("decision %+v before any request", d)
	}
	observe(&c, start, upload, 3, 1)
	if d := c.Decide(start, 1.5, upload); d.Depth != 0 {
		t.Errorf("depth %.2f after three requests", d.Depth)
	}
	observe(&c, start, upload, 30, 1)
	if d := c.Decide(start.Add(time.Minute), 1.5, upload); d.Depth != 0 {
		t.Errorf("depth %.2f by the demand of a minute ago", d.Depth)
	}
}

// Failure: all callers claim to have come back after a refusal.
func TestReturnsGoFirstOnlyUpToAPart(t *testing.T) {
	var c admission.Controller
	observe(&c, start, page, 30, 1)
	first := 0
	const n = 400
	for i := range n {
		req := page
		req.Returned = i%4 != 0 // Three of four claim to have come back.
		d := c.Decide(start, 1.5, req)
		if d.Returned {
			first++
			if other := c.Decide(start, 1.5, page); d.Depth < other.Depth {
				t.Fatalf("depth %.2f of a returned request, %.2f of a new one", d.Depth, other.Depth)
			}
		}
		c.Record(start, req, d, true)
	}
	if share := float64(first) / n; share < 0.2 || share > 0.3 {
		t.Errorf("%.2f of the requests went first as returned, want a quarter", share)
	}
}

// randomHistory returns a Controller after random requests of three ranks and a route priority.
func randomHistory(seed uint64) (*admission.Controller, *rand.Rand) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	c, now := &admission.Controller{}, start
	rare := rnd.IntN(2) == 0 // The highest priority has hardly any traffic.
	sent := [3]float64{rnd.Float64(), rnd.Float64(), rnd.Float64()}
	for range 20 + rnd.IntN(300) {
		now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
		req := randomRequest(rnd)
		if rare && req.Rank.Priority == 0 && rnd.IntN(60) > 0 {
			req.Rank.Priority = 1
		}
		c.Record(now, req, c.Decide(now, 3*rnd.Float64(), req), rnd.Float64() < sent[req.Rank.Priority])
		c.Answered(now, req, time.Duration(50+rnd.IntN(600))*time.Millisecond)
	}
	return c, rnd
}

func randomRequest(rnd *rand.Rand) admission.Request {
	route := rnd.IntN(2)
	objective := []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond}[route]
	return admission.Request{
		Service: service, Rank: admission.Rank{Priority: rnd.IntN(3), Route: route}, ID: fmt.Sprint(rnd.Uint64()),
		Use: 2 * rnd.Float64(), Returned: rnd.IntN(4) == 0, Objective: objective, Within: objective,
	}
}

func TestPropertyOrder(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("a rank is never refused at an occupancy at which a lower one is sent", prop.ForAll(
		func(seed uint64, utilization float64) string {
			c, rnd := randomHistory(seed)
			now := start.Add(6 * time.Second)
			for range 30 {
				a, b := randomRequest(rnd), randomRequest(rnd)
				if a.Rank.Compare(b.Rank) >= 0 {
					continue
				}
				da, db := c.Decide(now, utilization, a), c.Decide(now, utilization, b)
				most := da.Depth
				if a.Objective < b.Objective {
					most = min(most, admission.SharedDepth) // Beyond it the balancer compares the time left.
				}
				if da.Depth != 0 && db.Depth != 0 && most < db.Depth {
					return fmt.Sprintf("%+v %+v, %+v %+v", a, da, b, db)
				}
			}
			return ""
		}, gen.UInt64(), gen.Float64Range(0, 3)))
	properties.Property("within a rank, teams within their shares go first, and returned requests among equals", prop.ForAll(
		func(seed uint64, utilization float64) string {
			c, rnd := randomHistory(seed)
			now := start.Add(6 * time.Second)
			for range 30 {
				a, b := randomRequest(rnd), randomRequest(rnd)
				b.Rank, b.Objective, b.Within = a.Rank, a.Objective, a.Within
				da, db := c.Decide(now, utilization, a), c.Decide(now, utilization, b)
				first := db.AboveShare && !da.AboveShare || da.AboveShare == db.AboveShare && da.Returned && !db.Returned
				if first && da.Depth < db.Depth {
					return fmt.Sprintf("%+v %+v, %+v %+v", a, da, b, db)
				}
			}
			return ""
		}, gen.UInt64(), gen.Float64Range(0, 3)))
	properties.Property("no request is refused at an upstream with an idle slot", prop.ForAll(
		func(seed uint64, utilization float64) bool {
			c, rnd := randomHistory(seed)
			for range 30 {
				if d := c.Decide(start.Add(6*time.Second), utilization, randomRequest(rnd)).Depth; d != 0 && (d < admission.MinDepth || d > admission.MaxDepth) {
					return false
				}
			}
			return true
		}, gen.UInt64(), gen.Float64Range(0, 3)))
	properties.TestingRun(t)
}

func TestShares(t *testing.T) {
	var c admission.Controller
	observe(&c, start, upload, 6, 0.5)
	observe(&c, start, change, 30, 1)
	got := c.Shares(start)
	if len(got) != 2 || got[0].Rank.Priority != 0 || got[1].Rank.Priority != 2 {
		t.Fatalf("shares %+v, want those of priorities 0 and 2", got)
	}
	if u := got[1]; u.Asked != 2 || u.Sent != 1 || u.RefusedWithin != 3 || u.RefusedAbove != 0 {
		t.Errorf("uploads: %+v, want 2 a second asked, 1 sent and 3 refused within shares", u)
	}
}

func BenchmarkDecide(b *testing.B) {
	c, rnd := randomHistory(1)
	reqs := make([]admission.Request, 64)
	for i := range reqs {
		reqs[i] = randomRequest(rnd)
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Decide(start, 1.5, reqs[i%len(reqs)])
	}
}
