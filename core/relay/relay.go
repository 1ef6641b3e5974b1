// Package relay selects the VM through which a VM that reaches no upstream sends a request.
//
// Requests are spread over the VMs that reach upstreams in proportion to what each can carry
// beyond the requests of its own callers, so that none is overloaded, however many VMs are cut
// off. VMs of the own region come first. Other regions' VMs are used only if those cannot carry
// the requests of all the region's VMs that are cut off. All VMs compute this from what the
// others publish and need not agree. What exceeds the capacity of all is refused.
//
// # Usage
//
//	var s relay.Selector
//	vm, ok := s.Choose(now, candidates, relay.Query{ID: id, Region: region, Demand: demand, Total: total})
//	if !ok { ... refuse the request }
//	s.Failed(now, vm.Name) // It could not be reached, or reaches no upstream itself.
package relay

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// failurePause is how long no request is sent through a VM after one has failed: about the
	// time until it has published that it is cut off too.
	failurePause = time.Second
	// nearMargin is how much more than the demand the own region's VMs must be able to carry for
	// the other regions' not to be used.
	nearMargin = 1.25
)

// Candidate is a VM that reaches upstreams.
type Candidate struct {
	Name, Region string
	// Addr is the address to which it is sent requests.
	Addr string
	// Spare is how many more requests per second it can carry than its own callers send.
	Spare float64
}

// Query describes a request.
type Query struct {
	// ID identifies the request.
	ID string
	// Region is the sender's.
	Region string
	// Demand is the requests per second of all VMs of that region that are cut off, and Total
	// those of all regions.
	Demand, Total float64
	// Allowed reports whether the request may be sent to a region; nil: it may be sent to all.
	Allowed func(region string) bool
	// Tried are the names of VMs that have been tried.
	Tried []string
}

// Selector selects VMs for one sender. The zero value is ready to use. It is safe for concurrent
// use.
type Selector struct {
	mu     sync.Mutex
	failed map[string]time.Time // When a VM last failed, by name.
}

// Failed records that a VM could not be reached or could not serve a request.
func (s *Selector) Failed(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[string]time.Time)
	}
	s.failed[name] = now
}

// Choose returns the VM for a request, or false if there is none that can carry it.
func (s *Selector) Choose(now time.Time, list []Candidate, q Query) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, all []Candidate
	nearSpare, spare := 0.0, 0.0
	for _, c := range list {
		if c.Spare <= 0 || slices.Contains(q.Tried, c.Name) || q.Allowed != nil && !q.Allowed(c.Region) || s.paused(now, c.Name) {
			continue
		}
		all, spare = append(all, c), spare+c.Spare
		if c.Region == q.Region {
			near, nearSpare = append(near, c), nearSpare+c.Spare
		}
	}
	demand := max(q.Demand, q.Total)
	if len(near) > 0 && nearSpare >= nearMargin*q.Demand {
		all, spare, demand = near, nearSpare, q.Demand
	}
	if len(all) == 0 || unit(q.ID, "")*demand > spare {
		return Candidate{}, false
	}
	return slices.MinFunc(all, func(a, b Candidate) int {
		if a.cost(q.ID) < b.cost(q.ID) {
			return -1
		}
		return 1
	}), true
}

// paused reports whether a VM has failed recently.
func (s *Selector) paused(now time.Time, name string) bool {
	at, ok := s.failed[name]
	if ok && now.Sub(at) >= failurePause {
		delete(s.failed, name)
		return false
	}
	return ok
}

// cost ranks a candidate for a request by weighted rendezvous hashing, the lowest first: each is
// chosen in proportion to its spare capacity.
func (c Candidate) cost(id string) float64 { return -math.Log(1-unit(id, c.Name)) / c.Spare }

// unit maps two texts to [0, 1), uniformly.
func unit(a, b string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(a)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	return float64(d.Sum64()>>11) / (1 << 53)
}
