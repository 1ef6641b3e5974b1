package inventory

// Unserved returns the names of the services that have targets, all of which
// are drained, in sorted order. Requests for such a service are refused.
func (inv *Inventory) Unserved() []string {
	served := make(map[string]bool, len(inv.Services))
	registered := make(map[string]bool, len(inv.Services))
	for _, t := range inv.Targets {
		registered[t.Service] = true
		if !inv.Drained(t) {
			served[t.Service] = true
		}
	}
	var names []string
	for _, s := range inv.Services {
		if registered[s.Name] && !served[s.Name] {
			names = append(names, s.Name)
		}
	}
	return names
}

// ZoneTargets returns the targets of an availability zone, sorted by name.
func (inv *Inventory) ZoneTargets(zone string) []*Target {
	var list []*Target
	for _, t := range inv.Targets {
		if t.Zone == zone {
			list = append(list, t)
		}
	}
	return list
}
