package inventory

import "slices"

// Bounded returns the inventory with the slots of targets and the shares of services within their
// bounds, as they are added up and divided by. An inventory that was not validated here may come
// from another writer. Items within their bounds are not copied.
func (inv *Inventory) Bounded() *Inventory {
	next := *inv
	next.Targets = boundedItems(inv.Targets, (*Target).bounded)
	next.Services = boundedItems(inv.Services, (*Service).bounded)
	return &next
}

func boundedItems[T any](items []*T, bounded func(*T) *T) []*T {
	cloned := false
	for i, item := range items {
		b := bounded(item)
		if b == item {
			continue
		}
		if !cloned {
			items, cloned = slices.Clone(items), true
		}
		items[i] = b
	}
	return items
}

// bounded returns t itself if its slots are within their bounds.
func (t *Target) bounded() *Target {
	slots := min(max(0, t.Slots), maxSlots)
	if slots == t.Slots {
		return t
	}
	b := *t
	b.Slots = slots
	return &b
}

// bounded returns s itself if its shares are within their bounds.
func (s *Service) bounded() *Service {
	b := *s
	changed := false
	for _, share := range []*float64{&b.MaxShiftPerMinute, &b.MaxFailoverPerMinute, &b.HeadroomFloor, &b.RetryBudget} {
		if *share >= 0 && *share <= 1 {
			continue
		}
		changed = true
		if *share > 1 {
			*share = 1
		} else {
			*share = 0 // Also if it is not a number.
		}
	}
	if !changed {
		return s
	}
	return &b
}
