package inventory

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Change turns version Based into version Based+1.
type Change struct {
	// ID is unique. If the reply to an accepted change is lost, the sender looks
	// for the ID to find out that it was accepted.
	ID     string
	Based  uint64
	Author string
	At     time.Time
	Ops    []Op
}

// Op is one operation of a change. Exactly one field is set: an item to add or
// replace, or Remove.
type Op struct {
	Region  *Region
	Zone    *Zone
	Service *Service
	Target  *Target
	Place   *Place
	Link    *Link
	Drain   *Drain
	Remove  *Remove
}

// Remove identifies an item to remove. The name of a link is "From>To", that of
// a drain is "Kind/Name".
type Remove struct {
	Kind Kind
	Name string
}

// Subject returns the kind and name of the item that the operation changes.
func (op Op) Subject() Remove {
	switch {
	case op.Region != nil:
		return Remove{KindRegion, op.Region.Name}
	case op.Zone != nil:
		return Remove{KindZone, op.Zone.Name}
	case op.Service != nil:
		return Remove{KindService, op.Service.Name}
	case op.Target != nil:
		return Remove{KindTarget, op.Target.Name}
	case op.Place != nil:
		return Remove{KindPlace, op.Place.Name}
	case op.Link != nil:
		return Remove{KindLink, op.Link.key()}
	case op.Drain != nil:
		return Remove{KindDrain, op.Drain.key()}
	case op.Remove != nil:
		return *op.Remove
	default:
		return Remove{}
	}
}

// String returns a description of the operation in one line, such as
// "put Zone ro-nord-1".
func (op Op) String() string {
	s := op.Subject()
	if op.Remove != nil {
		return fmt.Sprintf("remove %s %s", s.Kind, s.Name)
	}
	return fmt.Sprintf("put %s %s", s.Kind, s.Name)
}

// ErrVersion is the error for a change that is based on a different version.
var ErrVersion = errors.New("change is based on another version")

// Apply returns the version after c. If the result has faults, the error is a
// *FaultsError with all of them. Apply does not modify inv.
func (inv *Inventory) Apply(c Change) (*Inventory, error) {
	next, err := inv.apply(c)
	if err != nil {
		return nil, err
	}
	if faults := next.Check(); len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	return next, nil
}

// ApplyUnchecked returns the version after c without validating the result. It
// is for changes that have already been accepted: every VM must apply them, even
// if a newer release of the program has different rules. Figures that cannot be
// computed with are bounded, as by Bounded.
func (inv *Inventory) ApplyUnchecked(c Change) (*Inventory, error) {
	next, err := inv.apply(c)
	if err != nil {
		return nil, err
	}
	return next.Bounded(), nil
}

func (inv *Inventory) apply(c Change) (*Inventory, error) {
	if c.Based != inv.Version {
		return nil, errors.Wrapf(ErrVersion, "based on version %d, current version is %d", c.Based, inv.Version)
	}
	next := *inv
	next.Version++
	for _, op := range c.Ops {
		if err := next.applyOp(op); err != nil {
			return nil, err
		}
	}
	return &next, nil
}

func (inv *Inventory) applyOp(op Op) error {
	switch {
	case op.Region != nil:
		inv.Regions = put(inv.Regions, op.Region, regionKey)
	case op.Zone != nil:
		inv.Zones = put(inv.Zones, op.Zone, zoneKey)
	case op.Service != nil:
		inv.Services = put(inv.Services, op.Service, serviceKey)
	case op.Target != nil:
		inv.Targets = put(inv.Targets, op.Target, targetKey)
	case op.Place != nil:
		inv.Places = put(inv.Places, op.Place, placeKey)
	case op.Link != nil:
		inv.Links = put(inv.Links, op.Link, (*Link).key)
	case op.Drain != nil:
		inv.Drains = put(inv.Drains, op.Drain, (*Drain).key)
	case op.Remove != nil:
		return inv.removeItem(*op.Remove)
	default:
		return errors.New("the change has an empty operation")
	}
	return nil
}

func (inv *Inventory) removeItem(r Remove) error {
	var ok bool
	switch r.Kind {
	case KindRegion:
		inv.Regions, ok = remove(inv.Regions, r.Name, regionKey)
	case KindZone:
		inv.Zones, ok = remove(inv.Zones, r.Name, zoneKey)
	case KindService:
		inv.Services, ok = remove(inv.Services, r.Name, serviceKey)
	case KindTarget:
		inv.Targets, ok = remove(inv.Targets, r.Name, targetKey)
	case KindPlace:
		inv.Places, ok = remove(inv.Places, r.Name, placeKey)
	case KindLink:
		inv.Links, ok = remove(inv.Links, r.Name, (*Link).key)
	case KindDrain:
		inv.Drains, ok = remove(inv.Drains, r.Name, (*Drain).key)
	default:
		return errors.Newf("cannot remove: unknown kind of item %q", r.Kind)
	}
	if !ok {
		return errors.Newf("cannot remove %s %q: not found", r.Kind, r.Name)
	}
	return nil
}
