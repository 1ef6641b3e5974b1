package inventory

import "reflect"

// Diff returns the operations that turn from into to. For each kind, removals
// come first, so that a name can pass from one item to another in one change.
func Diff(from, to *Inventory) []Op {
	var ops []Op
	ops = diffKind(ops, from.Drains, to.Drains, KindDrain, (*Drain).key, func(d *Drain) Op { return Op{Drain: d} })
	ops = diffKind(ops, from.Links, to.Links, KindLink, (*Link).key, func(l *Link) Op { return Op{Link: l} })
	ops = diffKind(ops, from.Places, to.Places, KindPlace, placeKey, func(p *Place) Op { return Op{Place: p} })
	ops = diffKind(ops, from.Targets, to.Targets, KindTarget, targetKey, func(t *Target) Op { return Op{Target: t} })
	ops = diffKind(ops, from.Services, to.Services, KindService, serviceKey, func(s *Service) Op { return Op{Service: s} })
	ops = diffKind(ops, from.Zones, to.Zones, KindZone, zoneKey, func(z *Zone) Op { return Op{Zone: z} })
	return diffKind(ops, from.Regions, to.Regions, KindRegion, regionKey, func(r *Region) Op { return Op{Region: r} })
}

func diffKind[T any](ops []Op, from, to []*T, kind Kind, keyOf func(*T) string, putOp func(*T) Op) []Op {
	for _, old := range from {
		if find(to, keyOf(old), keyOf) == nil {
			ops = append(ops, Op{Remove: &Remove{Kind: kind, Name: keyOf(old)}})
		}
	}
	for _, item := range to {
		old := find(from, keyOf(item), keyOf)
		if old == nil || !reflect.DeepEqual(old, item) {
			ops = append(ops, putOp(item))
		}
	}
	return ops
}

// New returns an inventory of the given items as version 0, without validating
// it. Of two items with the same kind and name the later one is kept.
func New(ops ...Op) (*Inventory, error) {
	inv := &Inventory{}
	for _, op := range ops {
		if err := inv.applyOp(op); err != nil {
			return nil, err
		}
	}
	return inv, nil
}
