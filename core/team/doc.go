// Package team holds the operators' customers, called teams: the keys that identify
// a team, its request limit, and the regions that may serve it.
//
// A Directory is part of one accepted configuration, is immutable, and is shared
// by all requests. Keys are secrets: they are used for look-ups only, and are
// logged as their Fingerprint.
//
// # Usage
//
//	dir, err := team.NewDirectory(cfg.Teams)   // nil without teams: no key is required
//	key, err := team.Bearer(r.Header.Values("Authorization"))
//	t := dir.ByKey(key)                        // nil: no team has this key
package team

import "slices"

// Team is a customer of the operators.
type Team struct {
	Name string
	// Keys are the keys that its callers may use at present.
	Keys []string
	// Priority overrides that of the route, 0 being the highest; nil: the route's
	// priority applies.
	Priority *int
	// RatePerSecond and Burst limit the team's requests, over all VMs together. If
	// RatePerSecond is 0, there is no limit.
	RatePerSecond, Burst float64
	// Homes are the regions that may serve the team; none: all may.
	Homes []string
}

// IsHome reports whether a region may serve the team. The nil Team is that of
// requests without a key, which any region may serve.
func (t *Team) IsHome(region string) bool {
	return t == nil || len(t.Homes) == 0 || slices.Contains(t.Homes, region)
}

// Limited reports whether the team has a limit.
func (t *Team) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// EffectivePriority returns the priority of the team's requests on a route, given the
// route's own priority.
func (t *Team) EffectivePriority(route int) int {
	if t == nil || t.Priority == nil {
		return route
	}
	return *t.Priority
}
