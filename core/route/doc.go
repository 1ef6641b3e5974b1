// Package route holds the rules by which a request finds its service: which
// host and path belong to which route, what may be repeated, how long it may
// take, and how a route's traffic is split.
//
// # Usage
//
// A Config is one accepted version. NewTable prepares it for look-ups; a Table
// is immutable and shared by all requests:
//
//	table, err := route.NewTable(cfg)
//	r := table.Find(host, path)     // nil: no route matches
//	service := r.Pick(key, &picks)  // which part of a split route
package route

import (
	"time"

	"auburnlatch/core/team"
)

// Kind says what may be repeated.
type Kind int

// The kinds of request. The zero value may not be repeated, so that a kind
// nobody set is the careful one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// String returns the kind's name as it stands in logs.
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

// Route is one rule.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest a request may be kept waiting; 0: only the
	// caller's own deadline counts.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to a caller.
	Objective time.Duration
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
	// Priority is the rank under pressure, 0 being the highest.
	Priority int
	// Parts has one service, or several that share the route's traffic.
	Parts []Part
	// Sticky upstreams answer faster for an object they handled lately.
	Sticky bool
	// Homes are the regions that may serve the route; none: all may.
	Homes []string
	// Open routes need no key where there are teams.
	Open bool
}

// Part is a service's share of a route.
type Part struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Home reports whether a region may serve the route.
func (r *Route) Home(region string) bool {
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

// Service is what the configuration says of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections one upstream accepts from all callers.
	MaxConns int
	// ColdFor is how long an upstream is cold after its start.
	ColdFor time.Duration
	// ColdPerSecond is how many requests a second a cold upstream bears.
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
	// Teams are those whose keys callers need; nil: nobody needs one.
	Teams []*team.Team
}
