package balance_test

import (
	"slices"
	"testing"

	"auburnlatch/core/balance"
)

// Guards against VMs that place objects differently, those that have seen an upstream register with
// other slots by its former ones: its objects are new to two upstreams, and it gets the share of
// slots that it no longer has.
func TestPlacingFollowsChangedSlots(t *testing.T) {
	before := newTargets(8, map[string]int{"north": 4})
	after := newTargets(8, map[string]int{"north": 4})
	after[0].Slots = 1
	seen, fresh := balance.New("seen", "north", "north-0"), balance.New("fresh", "north", "north-0")
	seen.SetTargets(before)
	seen.SetTargets(after)
	fresh.SetTargets(after)
	const objects = 400
	want, got := owners(t, fresh, start, objects), owners(t, seen, start, objects)
	if !slices.Equal(got, want) {
		t.Errorf("%d of %d objects have another owner than at a VM that has just started, and the upstream has %d instead of %d of them",
			countMoved(got, want), objects, objectsPerTarget(got)[after[0].ID], objectsPerTarget(want)[after[0].ID])
	}
}
