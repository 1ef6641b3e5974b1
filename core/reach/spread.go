package reach

import (
	"cmp"
	"slices"

	"auburnlatch/core/target"
)

// Place is an availability zone and its region.
type Place struct{ Zone, Region string }

// maxConsidered bounds the targets that Spread chooses from, at random, as there may be thousands.
const maxConsidered = 512

// Spread returns up to n targets to check whether a VM reaches any upstream: of as many
// availability zones and services as possible, so that the failure of one does not look like lost
// links. The VM's own zone comes first, then its region. Targets that skip reports are used only
// if there are no others. intn returns a random number below its argument. It reorders targets.
func Spread(targets []*target.Target, from Place, n int, skip func(addr string) bool, intn func(int) int) []*target.Target {
	shuffle(targets, min(len(targets), maxConsidered), intn)
	targets = targets[:min(len(targets), maxConsidered)]
	zones := make(map[string][]*target.Target)
	skipped := make(map[*target.Target]bool)
	for _, t := range targets {
		zones[t.Zone] = append(zones[t.Zone], t)
		skipped[t] = skip(t.Addr)
	}
	order := make([]string, 0, len(zones))
	for zone := range zones {
		order = append(order, zone)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance(zones[a][0], from), distance(zones[b][0], from)), cmp.Compare(a, b))
	})
	chosen := make([]*target.Target, 0, n)
	services := make(map[string]int)
	for len(chosen) < n {
		before := len(chosen)
		for _, zone := range order {
			if len(chosen) == n {
				break
			}
			list := zones[zone]
			if len(list) == 0 {
				continue
			}
			best := slices.MinFunc(list, func(a, b *target.Target) int {
				return cmp.Or(cmp.Compare(rank(skipped[a]), rank(skipped[b])), cmp.Compare(services[a.Service], services[b.Service]))
			})
			zones[zone] = slices.DeleteFunc(list, func(t *target.Target) bool { return t == best })
			services[best.Service]++
			chosen = append(chosen, best)
		}
		if len(chosen) == before {
			break
		}
	}
	slices.SortStableFunc(chosen, func(a, b *target.Target) int { return cmp.Compare(rank(skipped[a]), rank(skipped[b])) })
	return chosen
}

// shuffle moves n random targets to the beginning.
func shuffle(list []*target.Target, n int, intn func(int) int) {
	for i := range n {
		j := i + intn(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
}

// rank orders what is skipped last.
func rank(skipped bool) int {
	if skipped {
		return 1
	}
	return 0
}

// distance ranks a target by how far it is.
func distance(t *target.Target, from Place) int {
	switch {
	case t.Zone == from.Zone:
		return 0
	case t.Region == from.Region:
		return 1
	default:
		return 2
	}
}
