// Package route holds the rules by which a request is routed to a service:
// which host and path belong to which route, whether a request may be retried,
// how long it may take, and how a route's traffic is split.
//
// # Usage
//
// A Config is one accepted version. NewTable prepares it for look-ups; a Table
// is immutable and shared by all requests:
//
//	table, err := route.NewTable(cfg)
//	r := table.Find(host, path)       // nil: no route matches
//	service := r.Pick(rand.Float64()) // the service for this request
package route

import (
	"time"

	"auburnlatch/core/team"
)

// Kind says whether a request may be retried.
type Kind int

// The kinds of request. The zero value may not be retried, which is the safe
// choice for a kind that was not set.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// String returns the kind's name as used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "Idempotent"
	case Upload:
		return "Upload"
	default:
		return "NonIdempotent"
	}
}

// Route is one routing rule.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller may wait for the response; 0:
	// only the caller's own deadline applies.
	Timeout time.Duration
	// Objective is the response time objective: responses that take longer are late.
	Objective time.Duration
	// Attempts is the maximum number of upstreams to which one request is sent.
	Attempts int
	// Priority orders requests under overload, 0 being the highest.
	Priority int
	// Parts has one service, or several among which the route's traffic is split.
	Parts []Part
	// Sticky routes have upstreams that respond faster for an object which they
	// served recently.
	Sticky bool
	// Homes are the regions that may serve the route; none: all may.
	Homes []string
	// Unauthenticated routes require no key even if there are teams.
	Unauthenticated bool
}

// Part is a service with its share of a route's traffic.
type Part struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// IsHome reports whether a region may serve the route.
func (r *Route) IsHome(region string) bool {
	if len(r.Homes) == 0 {
		return true
	}
	for _, home := range r.Homes {
		if home == region {
			return true
		}
	}
	return false
}

// Service is the configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that one upstream accepts from all
	// clients together.
	MaxConns int
	// ColdFor is how long an upstream is cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is the number of requests per second that a cold upstream
	// can handle.
	ColdPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one accepted version of all rules.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// Teams are the teams whose keys identify callers; nil: no key is required.
	Teams []*team.Team
}
