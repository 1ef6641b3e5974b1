package wire

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"auburnlatch/core/inventory"
	"auburnlatch/schema"
)

// Defaults of a service's settings.
const (
	defaultTimeout      = 30 * time.Second
	defaultMaxQueueWait = 500 * time.Millisecond
	defaultRetryBudget  = 0.1
)

var defaultIdempotent = []string{"GET", "HEAD", "OPTIONS"}

// Inventory maps an inventory. It returns an error if two items have the same
// kind and name, as one of them would be lost.
func Inventory(m *schema.Inventory) (*inventory.Inventory, error) {
	var ops []inventory.Op
	for _, r := range m.GetRegions() {
		ops = append(ops, inventory.Op{Region: region(r)})
	}
	for _, z := range m.GetZones() {
		ops = append(ops, inventory.Op{Zone: zone(z)})
	}
	for _, s := range m.GetServices() {
		ops = append(ops, inventory.Op{Service: service(s)})
	}
	for _, t := range m.GetTargets() {
		ops = append(ops, inventory.Op{Target: target(t)})
	}
	for _, p := range m.GetPlaces() {
		mapped, err := place(p)
		if err != nil {
			return nil, err
		}
		ops = append(ops, inventory.Op{Place: mapped})
	}
	for _, l := range m.GetLinks() {
		ops = append(ops, inventory.Op{Link: link(l)})
	}
	for _, d := range m.GetDrains() {
		ops = append(ops, inventory.Op{Drain: drain(d)})
	}
	if err := unique(ops); err != nil {
		return nil, err
	}
	inv, err := inventory.New(ops...)
	if err != nil {
		return nil, err
	}
	inv.Version = m.GetVersion()
	return inv, nil
}

func unique(ops []inventory.Op) error {
	seen := make(map[inventory.Remove]bool, len(ops))
	for _, op := range ops {
		subject := op.Subject()
		if seen[subject] {
			return errors.Newf("%s %q is registered twice", subject.Kind, subject.Name)
		}
		seen[subject] = true
	}
	return nil
}

func region(m *schema.Region) *inventory.Region { return &inventory.Region{Name: m.GetName()} }

func zone(m *schema.Zone) *inventory.Zone {
	return &inventory.Zone{Name: m.GetName(), Region: m.GetRegion()}
}

func service(m *schema.Service) *inventory.Service {
	s := &inventory.Service{
		Name: m.GetName(), MaxShiftPerMinute: m.GetMaxShiftPerMinute(),
		MaxFailoverPerMinute: m.GetMaxFailoverPerMinute(), HeadroomFloor: m.GetHeadroomFloor(),
		Timeout: DurationOr(m.GetTimeout(), defaultTimeout), MaxQueueWait: DurationOr(m.GetMaxQueueWait(), defaultMaxQueueWait),
		IdempotentMethods: m.GetIdempotentMethods(), RetryBudget: m.GetRetryBudget(), KeyOptional: m.GetKeyOptional(),
	}
	if len(s.IdempotentMethods) == 0 {
		s.IdempotentMethods = defaultIdempotent
	}
	if s.RetryBudget == 0 {
		s.RetryBudget = defaultRetryBudget
	}
	for _, status := range m.GetShedStatuses() {
		s.ShedStatuses = append(s.ShedStatuses, int(status))
	}
	return s
}

func target(m *schema.Target) *inventory.Target {
	return &inventory.Target{
		Name: m.GetName(), Service: m.GetService(), Zone: m.GetZone(), Addr: m.GetAddr(),
		Slots: int(m.GetSlots()), MaxConnections: int(m.GetMaxConnections()),
	}
}

func place(m *schema.Place) (*inventory.Place, error) {
	p := &inventory.Place{Name: m.GetName(), Zone: m.GetZone()}
	for _, s := range m.GetBlocks() {
		block, err := netip.ParsePrefix(s)
		if err != nil {
			return nil, errors.Newf("Place %s: Blocks: %q is no CIDR prefix such as 10.1.0.0/16", m.GetName(), s)
		}
		p.Blocks = append(p.Blocks, block)
	}
	return p, nil
}

func link(m *schema.Link) *inventory.Link {
	return &inventory.Link{
		From: m.GetFrom(), To: m.GetTo(), RoundTrip: DurationOr(m.GetRoundTrip(), 0), MaxConcurrent: int(m.GetMaxConcurrent()),
	}
}

func drain(m *schema.Drain) *inventory.Drain {
	return &inventory.Drain{Kind: inventory.Kind(m.GetKind()), Name: m.GetName()}
}

// FromInventory maps an inventory.
func FromInventory(inv *inventory.Inventory) *schema.Inventory {
	m := &schema.Inventory{Version: inv.Version}
	for _, r := range inv.Regions {
		m.Regions = append(m.Regions, fromRegion(r))
	}
	for _, z := range inv.Zones {
		m.Zones = append(m.Zones, fromZone(z))
	}
	for _, s := range inv.Services {
		m.Services = append(m.Services, fromService(s))
	}
	for _, t := range inv.Targets {
		m.Targets = append(m.Targets, fromTarget(t))
	}
	for _, p := range inv.Places {
		m.Places = append(m.Places, fromPlace(p))
	}
	for _, l := range inv.Links {
		m.Links = append(m.Links, fromLink(l))
	}
	for _, d := range inv.Drains {
		m.Drains = append(m.Drains, fromDrain(d))
	}
	return m
}

func fromRegion(r *inventory.Region) *schema.Region { return &schema.Region{Name: r.Name} }

func fromZone(z *inventory.Zone) *schema.Zone { return &schema.Zone{Name: z.Name, Region: z.Region} }

func fromService(s *inventory.Service) *schema.Service {
	m := &schema.Service{
		Name: s.Name, MaxShiftPerMinute: s.MaxShiftPerMinute, MaxFailoverPerMinute: s.MaxFailoverPerMinute,
		HeadroomFloor: s.HeadroomFloor, Timeout: durationpb.New(s.Timeout), MaxQueueWait: durationpb.New(s.MaxQueueWait),
		IdempotentMethods: s.IdempotentMethods, RetryBudget: s.RetryBudget, KeyOptional: s.KeyOptional,
	}
	for _, status := range s.ShedStatuses {
		m.ShedStatuses = append(m.ShedStatuses, int32(status))
	}
	return m
}

func fromTarget(t *inventory.Target) *schema.Target {
	return &schema.Target{
		Name: t.Name, Service: t.Service, Zone: t.Zone, Addr: t.Addr,
		Slots: int32(t.Slots), MaxConnections: int32(t.MaxConnections),
	}
}

func fromPlace(p *inventory.Place) *schema.Place {
	m := &schema.Place{Name: p.Name, Zone: p.Zone}
	for _, b := range p.Blocks {
		m.Blocks = append(m.Blocks, b.String())
	}
	return m
}

func fromLink(l *inventory.Link) *schema.Link {
	return &schema.Link{From: l.From, To: l.To, RoundTrip: durationpb.New(l.RoundTrip), MaxConcurrent: int32(l.MaxConcurrent)}
}

func fromDrain(d *inventory.Drain) *schema.Drain {
	return &schema.Drain{Kind: string(d.Kind), Name: d.Name}
}

// Change maps a change of the inventory.
func Change(m *schema.Change) (inventory.Change, error) {
	c := inventory.Change{ID: m.GetId(), Based: m.GetBased(), Author: m.GetAuthor(), At: timestamp(m.GetAt())}
	for _, step := range m.GetOps() {
		op, err := changeOp(step)
		if err != nil {
			return inventory.Change{}, err
		}
		c.Ops = append(c.Ops, op)
	}
	return c, nil
}

func changeOp(m *schema.Op) (inventory.Op, error) {
	switch k := m.GetKind().(type) {
	case *schema.Op_PutRegion:
		return inventory.Op{Region: region(k.PutRegion)}, nil
	case *schema.Op_PutZone:
		return inventory.Op{Zone: zone(k.PutZone)}, nil
	case *schema.Op_PutService:
		return inventory.Op{Service: service(k.PutService)}, nil
	case *schema.Op_PutTarget:
		return inventory.Op{Target: target(k.PutTarget)}, nil
	case *schema.Op_PutPlace:
		p, err := place(k.PutPlace)
		return inventory.Op{Place: p}, err
	case *schema.Op_PutLink:
		return inventory.Op{Link: link(k.PutLink)}, nil
	case *schema.Op_PutDrain:
		return inventory.Op{Drain: drain(k.PutDrain)}, nil
	case *schema.Op_Remove:
		return inventory.Op{Remove: &inventory.Remove{Kind: inventory.Kind(k.Remove.GetKind()), Name: k.Remove.GetName()}}, nil
	default:
		return inventory.Op{}, errors.New("an operation of the change is empty or of a kind unknown to this version")
	}
}

// FromChange maps a change of the inventory.
func FromChange(c inventory.Change) *schema.Change {
	m := &schema.Change{Id: c.ID, Based: c.Based, Author: c.Author, At: FromTime(c.At)}
	for _, op := range c.Ops {
		m.Ops = append(m.Ops, fromOp(op))
	}
	return m
}

func fromOp(op inventory.Op) *schema.Op {
	switch {
	case op.Region != nil:
		return &schema.Op{Kind: &schema.Op_PutRegion{PutRegion: fromRegion(op.Region)}}
	case op.Zone != nil:
		return &schema.Op{Kind: &schema.Op_PutZone{PutZone: fromZone(op.Zone)}}
	case op.Service != nil:
		return &schema.Op{Kind: &schema.Op_PutService{PutService: fromService(op.Service)}}
	case op.Target != nil:
		return &schema.Op{Kind: &schema.Op_PutTarget{PutTarget: fromTarget(op.Target)}}
	case op.Place != nil:
		return &schema.Op{Kind: &schema.Op_PutPlace{PutPlace: fromPlace(op.Place)}}
	case op.Link != nil:
		return &schema.Op{Kind: &schema.Op_PutLink{PutLink: fromLink(op.Link)}}
	case op.Drain != nil:
		return &schema.Op{Kind: &schema.Op_PutDrain{PutDrain: fromDrain(op.Drain)}}
	case op.Remove != nil:
		return &schema.Op{Kind: &schema.Op_Remove{Remove: &schema.Remove{Kind: string(op.Remove.Kind), Name: op.Remove.Name}}}
	default:
		return &schema.Op{}
	}
}
