package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Controller decides about the requests that arrive at one VM. It is safe for concurrent use. The
// zero value is ready to use.
type Controller struct {
	mu       sync.Mutex
	services map[string]*service
}

// Decide returns how a request is admitted. utilization is the number of requests for each slot
// of the service, running and waiting; 0: unknown.
func (c *Controller) Decide(now time.Time, utilization float64, req Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[req.Service]
	if s == nil {
		return Decision{}
	}
	s.decay(now)
	r := s.rank(req.Rank)
	if r == nil || !s.known() {
		return Decision{}
	}
	d := Decision{AboveShare: r.aboveShare(req), Returned: req.Returned && r.returnCredit >= 1}
	d.Depth = s.depth(r, classOf(d), utilization, req)
	return d
}

// Record counts a request that was decided about and was sent or refused.
func (c *Controller) Record(now time.Time, req Request, d Decision, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(req.Service)
	s.decay(now)
	s.ensureRank(req.Rank).record(now, req, d, sent)
}

// Answered records the time for which a request occupied a slot.
func (c *Controller) Answered(now time.Time, req Request, serviceTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(req.Service)
	s.decay(now)
	s.ensureRank(req.Rank).observe(serviceTime)
}

// Shares returns what each rank asked for and was given, sorted by service and rank.
func (c *Controller) Shares(now time.Time) []Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Share
	for name, s := range c.services {
		s.decay(now)
		for _, r := range s.ranks {
			list = append(list, Share{
				Service: name, Rank: r.Rank, Asked: r.askedCount() / timeConstant.Seconds(), Sent: r.sent / timeConstant.Seconds(),
				Level: r.level(), Starved: s.starved(r),
				RefusedWithin: r.refusedWithin, RefusedAbove: r.refusedAbove, RefusedReturned: r.refusedReturned,
			})
		}
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Rank.Compare(b.Rank))
	})
	return list
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		if c.services == nil {
			c.services = make(map[string]*service)
		}
		s = &service{}
		c.services[name] = s
	}
	return s
}

// class orders the requests of one rank.
type class int

const (
	returnedWithin class = iota
	newWithin
	returnedAbove
	newAbove
	numClasses
)

func classOf(d Decision) class {
	k := newWithin
	if d.AboveShare {
		k = newAbove
	}
	if d.Returned {
		k--
	}
	return k
}

// draw returns a number in [0, 1) that depends on the ID alone, so that each decision about a
// request has the same one.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}
