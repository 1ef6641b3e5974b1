package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"auburnlatch/core/route"
)

// The bounds on a part's share over all VMs: of the windows of wideWindow requests one in a hundred
// may be further than wideDeviation from its weight, of those of narrowWindow none further than
// narrowDeviation.
const (
	wideWindow, wideDeviation     = 300, 0.1
	narrowWindow, narrowDeviation = 200, 0.2
	wideAllowed                   = 0.01
)

// splitVM chooses parts as one VM does, whatever the object.
type splitVM struct{ rng *rand.Rand }

func newSplitVM(seed uint64) splitVM { return splitVM{rand.New(rand.NewPCG(seed, 1))} }

func (v splitVM) pick(r *route.Route, _ string) string { return r.Pick(v.rng.Float64()) }

// splitFleet is a number of VMs that receive the requests of one split route.
type splitFleet struct {
	rng     *rand.Rand
	vms     []splitVM
	callers func(*rand.Rand, int) int  // The VM that receives a request, of n.
	objects func(*rand.Rand) string    // The object of a request.
	weights []map[string]float64       // The versions so far.
	wide    struct{ windows, off int } // Windows of wideWindow requests.
	worst   float64                    // The largest deviation in a window of narrowWindow.
}

var splitCallers = []func(*rand.Rand, int) int{
	func(rng *rand.Rand, n int) int { return rng.IntN(n) },
	func(rng *rand.Rand, n int) int { return rng.IntN(1 + rng.IntN(n)) }, // Uneven.
	func(rng *rand.Rand, n int) int { return min(n-1, rng.IntN(3)) },
}

var splitObjects = []func(*rand.Rand) string{
	func(rng *rand.Rand) string { return "one" },
	func(rng *rand.Rand) string { return fmt.Sprint(max(0, rng.IntN(500)-450)) }, // Nine in ten the same.
	func(rng *rand.Rand) string { return fmt.Sprint(rng.IntN(50)) },
	func(rng *rand.Rand) string { return fmt.Sprint(rng.Uint64()) },
	func(rng *rand.Rand) string { return "" },
}

func newSplitFleet(n int, seed uint64) *splitFleet {
	f := &splitFleet{rng: rand.New(rand.NewPCG(seed, 0)), callers: splitCallers[0], objects: splitObjects[0]}
	for range n {
		f.vms = append(f.vms, newSplitVM(f.rng.Uint64()))
	}
	return f
}

// restart ends a share of the VMs and starts others in their place.
func (f *splitFleet) restart(share float64) {
	for i := range f.vms {
		if f.rng.Float64() < share {
			f.vms[i] = newSplitVM(f.rng.Uint64())
		}
	}
}

// change puts new weights in force.
func (f *splitFleet) change(weights map[string]float64) { f.weights = append(f.weights, weights) }

func (f *splitFleet) route() *route.Route {
	r := &route.Route{Name: "r", Prefix: "/"}
	for service, w := range f.weights[len(f.weights)-1] {
		r.Parts = append(r.Parts, route.Part{Service: service, Weight: w})
	}
	slices.SortFunc(r.Parts, func(a, b route.Part) int { return strings.Compare(a.Service, b.Service) })
	return r
}

// send sends n requests and returns the largest deviation of a part's share. A VM restarts before a
// request with the given probability.
func (f *splitFleet) send(n int, restarts float64) float64 {
	r, got := f.route(), map[string]int{}
	for range n {
		if f.rng.Float64() < restarts {
			f.vms[f.rng.IntN(len(f.vms))] = newSplitVM(f.rng.Uint64())
		}
		got[f.vms[f.callers(f.rng, len(f.vms))].pick(r, f.objects(f.rng))]++
	}
	sum, worst := 0.0, 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	for _, p := range r.Parts {
		worst = max(worst, math.Abs(float64(got[p.Service])/float64(n)-p.Weight/sum))
	}
	return worst
}

// measure sends requests in windows of both kinds. VMs restart within them with the given probability for
// each request.
func (f *splitFleet) measure(windows int, restarts float64) {
	for range windows {
		f.worst = max(f.worst, f.send(narrowWindow, restarts))
		f.wide.windows++
		if f.send(wideWindow, restarts) > wideDeviation {
			f.wide.off++
		}
	}
}

// verdict says which bound the measured windows exceeded, or returns "".
func (f *splitFleet) verdict() string {
	if f.worst > narrowDeviation {
		return fmt.Sprintf("a share was %.2f off in %d requests, at most %.2f allowed", f.worst, narrowWindow, narrowDeviation)
	}
	if allowed := wideAllowed * float64(f.wide.windows); float64(f.wide.off) > max(1, allowed) {
		return fmt.Sprintf("%d of %d windows of %d requests were more than %.2f off", f.wide.off, f.wide.windows, wideWindow, wideDeviation)
	}
	return ""
}

// Guards against requests under earlier weights that decide where later ones go.
func TestSharesFollowChangedWeights(t *testing.T) {
	for _, n := range []int{10, 59, 125, 986} {
		for _, tc := range []struct {
			name   string
			before []float64 // The earlier weights of a, for 5,000 requests each; b has the rest.
			after  float64
		}{
			{"less", []float64{0.9}, 0.5},
			{"more", []float64{0.1}, 0.5},
			{"not split before", []float64{1}, 0.5},
			{"in series", []float64{0.9, 0.1, 0.8, 0.3}, 0.5},
			{"rolled back", []float64{0.5, 0.95}, 0.5},
		} {
			t.Run(fmt.Sprint(tc.name, "/", n), func(t *testing.T) {
				f := newSplitFleet(n, 1)
				f.objects = splitObjects[2]
				for range 10 {
					for _, w := range append(slices.Clone(tc.before), tc.after) {
						f.change(map[string]float64{"a": w, "b": 1 - w})
						if w != tc.after {
							f.send(5000, 0)
						}
					}
					f.measure(10, 0)
				}
				if v := f.verdict(); v != "" {
					t.Error(v)
				}
			})
		}
	}
}

// Guards against VMs that each begin with the same part.
func TestSharesAfterStarts(t *testing.T) {
	for _, n := range []int{10, 59, 125, 986} {
		for i, objects := range splitObjects {
			t.Run(fmt.Sprint(n, "/", i), func(t *testing.T) {
				f := newSplitFleet(n, 2)
				f.objects = objects
				f.change(map[string]float64{"a": 50, "b": 50})
				for range 100 {
					f.restart(1)
					f.measure(1, 0)
				}
				if v := f.verdict(); v != "" {
					t.Error(v)
				}
			})
		}
	}
}

// Guards against shares over all VMs that depend on earlier weights, starts, objects or callers.
func TestSharesInAllWindows(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("shares follow the weights", prop.ForAll(func(seed uint64, n int) string {
		f := newSplitFleet(n, seed)
		for range 25 {
			f.draw()
			f.measure(4, 0.05)
		}
		return f.verdict()
	}, gen.UInt64(), gen.OneConstOf(10, 30, 59, 125, 300, 986, 1000)))
	props.TestingRun(t)
}

// draw applies some events and ends with new weights.
func (f *splitFleet) draw() {
	for range 1 + f.rng.IntN(3) {
		f.callers = splitCallers[f.rng.IntN(len(splitCallers))]
		f.objects = splitObjects[f.rng.IntN(len(splitObjects))]
		if f.rng.IntN(3) == 0 {
			f.restart(f.rng.Float64())
		}
		if len(f.weights) > 1 && f.rng.IntN(4) == 0 {
			f.change(f.weights[len(f.weights)-2])
		} else {
			f.change(drawWeights(f.rng))
		}
		f.send(1+f.rng.IntN(2000), 0.01)
	}
	f.change(drawWeights(f.rng))
}

// drawWeights returns the weights of one to three parts.
func drawWeights(rng *rand.Rand) map[string]float64 {
	weights := make(map[string]float64)
	for _, i := range rng.Perm(3)[:1+rng.IntN(3)] {
		weights[string(rune('a'+i))] = float64(1 + rng.IntN(100))
	}
	return weights
}
