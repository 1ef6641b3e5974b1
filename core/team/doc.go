// Package team knows the operators' customers: which keys name which team, what
// a team may ask for, and where it may be served.
//
// A Directory is part of one accepted configuration, is immutable, and is shared
// by all requests. A key is a secret: nothing but the comparison needs it, and what
// tells one key from another in logs is its Fingerprint.
//
// # Usage
//
//	dir, err := team.NewDirectory(cfg.Teams)   // nil without teams: no keys are asked for
//	key, err := team.Bearer(r.Header.Values("Authorization"))
//	t := dir.ByKey(key)                        // nil: nobody holds the key
package team

import "slices"

// Team is a customer of the operators.
type Team struct {
	Name string
	// Keys are those that its callers may use now.
	Keys []string
	// Priority goes before that of the route, 0 being the highest; nil: the
	// route's counts.
	Priority *int
	// RatePerSecond and Burst bound what the team may ask for, over all VMs
	// together. A RatePerSecond of 0 says that nothing does.
	RatePerSecond, Burst float64
	// Homes are the regions that may serve the team; none: all may.
	Homes []string
}

// Home reports whether a region may serve the team. The nil Team is that of a
// request without a key, which any region may serve.
func (t *Team) Home(region string) bool {
	return t == nil || len(t.Homes) == 0 || slices.Contains(t.Homes, region)
}

// Limited reports whether the team has a limit.
func (t *Team) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// Rank returns the priority of the team's requests on a route that has its own.
func (t *Team) Rank(route int) int {
	if t == nil || t.Priority == nil {
		return route
	}
	return *t.Priority
}
