// Package admission decides which requests are sent on while a service has more requests than
// slots. It has no network and no clock: the present time is an argument.
//
// A Controller returns, for each request, the depth up to which an upstream may be filled for
// it, in requests for each slot. The caller sends the request to an upstream below that depth,
// or refuses it at once. All VMs see the load that upstreams report, so equal depths make them
// agree without messages.
//
// # Order
//
// Requests are ordered by rank, then by whether their team is within its share, then by whether
// the caller has come back after a refusal. The depth never increases along this order:
//
//   - The highest rank with traffic at the service may fill upstreams as long as its requests
//     are expected to be in time.
//   - A lower rank may fill them as long as requests of higher ranks are still in time there,
//     and as there is room for those that arrive within one service time (trunk reservation).
//     Ranks without traffic at the service reserve nothing, nor does any while upstreams have
//     less than one request for each slot on average.
//   - A rank that is served much less often than all requests is starved: until it is not, it
//     and the ranks above it have the same depth.
//   - Teams of one rank have max-min fair shares with their limits as weights: of a team whose
//     use of its limit is above the fair level, the part above is ordered last in its rank. The
//     level follows from the fraction of the rank that is served, as in core-stateless fair
//     queueing (Stoica, Shenker, Zhang 1998).
//   - Returned requests go first only up to a part of their rank, so that callers who claim to
//     have come back cannot starve others.
//
// Whatever its rank and team, a request is sent to an upstream that has an idle slot as far as the
// VM knows.
//
// # Usage
//
//	var c admission.Controller
//	req := admission.Request{Service: "billing", Rank: admission.Rank{Priority: 2}, ID: id, Use: demand / limit, Objective: objective, Within: left}
//	d := c.Decide(now, utilization, req)
//	sent := outstanding < d.Depth*slots // Depth 0: too little is known yet.
//	c.Record(now, req, d, sent)
//	...
//	c.Answered(now, req, serviceTime)
package admission

import (
	"cmp"
	"time"
)

const (
	// MinDepth is the least depth of any request: none is refused at an upstream that is believed
	// to have an idle slot.
	MinDepth = 1.0
	// SharedDepth is the most depth of a request with a longer objective than those of a higher
	// rank. Up to it the balancer does not compare the time left with the wait, so no request is
	// refused for its shorter objective where one of a lower rank is sent.
	SharedDepth = 2.0
	// MaxDepth is the most depth of any request.
	MaxDepth = 3.0
)

// Rank is the rank of a request. The highest is the zero value.
type Rank struct {
	// Priority is that of the request's team, or of its route if the team has none.
	Priority int
	// Route is the priority of its route, which orders requests of one Priority.
	Route int
}

// Compare returns a negative number if a is higher than b, and a positive one if it is lower.
func (a Rank) Compare(b Rank) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Route, b.Route))
}

// Request has the properties of a request on which its depth depends.
type Request struct {
	Service string
	Rank    Rank
	// ID identifies the request. Which requests of a team are above its share depends on it.
	ID string
	// Use is the demand of its team over all VMs relative to the team's limit; 0: unknown.
	Use float64
	// Returned says that the caller was refused before and has come back.
	Returned bool
	// Rules is the version of the rules that the request's properties follow from.
	Rules uint64
	// Objective is the response time objective, and Within what is left of it; 0: none.
	Objective, Within time.Duration
}

// Decision is how a request is admitted.
type Decision struct {
	// Depth is the most requests for each slot that an upstream may have for the request to be
	// sent there. 0: the demand is not known yet.
	Depth float64
	// AboveShare says that the request is in the part of its team's demand above its share.
	AboveShare bool
	// Returned says that the request goes before others of its rank and team as returned.
	Returned bool
}

// Share is what the requests of one rank at one service asked for and were given.
type Share struct {
	Service string
	Rank    Rank
	// Asked and Sent are requests per second, as moving averages.
	Asked, Sent float64
	// Level is the use of their limits up to which teams are within their shares; 0: all are.
	Level float64
	// Starved says that the rank was served much less often than all requests.
	Starved bool
	// RefusedWithin and RefusedAbove count refusals since the start, of teams within and above
	// their shares, and RefusedReturned those of them whose caller had come back.
	RefusedWithin, RefusedAbove, RefusedReturned int64
}
