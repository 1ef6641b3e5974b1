package inventory

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	// maxSlots and maxNameLength are meant to catch typing errors.
	maxSlots      = 100_000
	maxNameLength = 100 // In bytes.
	// reservedName is the first segment of the program's own URL paths.
	reservedName = "auburnlatch"
)

// Fault is a validation error of an inventory.
type Fault struct {
	// Item is the kind and name of the faulty item.
	Item Remove
	// Field is the faulty field, as named in the schema.
	Field string
	// Problem says what is wrong and which value would be valid.
	Problem string
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s %s: %s: %s", f.Item.Kind, f.Item.Name, f.Field, f.Problem)
}

// FaultsError lists all faults of an inventory.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults, separated by semicolons.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// Check validates the inventory and returns every fault, in a fixed order.
func (inv *Inventory) Check() []Fault {
	c := &checker{inv: inv}
	for _, r := range inv.Regions {
		c.name(KindRegion, r.Name)
	}
	for _, z := range inv.Zones {
		c.zone(z)
	}
	for _, s := range inv.Services {
		c.service(s)
	}
	for _, t := range inv.Targets {
		c.target(t)
	}
	c.places()
	for _, l := range inv.Links {
		c.link(l)
	}
	for _, d := range inv.Drains {
		c.drain(d)
	}
	return c.faults
}

type checker struct {
	inv    *Inventory
	faults []Fault
}

func (c *checker) fault(kind Kind, name, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Remove{kind, name}, field, fmt.Sprintf(format, args...)})
}

func (c *checker) name(kind Kind, name string) {
	if name == "" || len(name) > maxNameLength {
		c.fault(kind, name, "Name", "must have 1 to %d characters", maxNameLength)
		return
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r) {
			c.fault(kind, name, "Name", "%q is not allowed; use letters, digits, '-', '_' and '.'", r)
			return
		}
	}
}

func (c *checker) requireZone(kind Kind, name, field, zone string) {
	if c.inv.Zone(zone) == nil {
		c.fault(kind, name, field, "there is no zone %q", zone)
	}
}

func (c *checker) zone(z *Zone) {
	c.name(KindZone, z.Name)
	if c.inv.Region(z.Region) == nil {
		c.fault(KindZone, z.Name, "Region", "there is no region %q", z.Region)
	}
}

func (c *checker) share(s *Service, field string, v float64, allowZero bool) {
	if v > 1 || v < 0 || (v == 0 && !allowZero) || v != v {
		c.fault(KindService, s.Name, field, "%v is not a share between 0 and 1", v)
	}
}

func (c *checker) service(s *Service) {
	c.name(KindService, s.Name)
	if s.Name == reservedName {
		c.fault(KindService, s.Name, "Name", "%q is reserved for the system's own paths", reservedName)
	}
	c.share(s, "MaxShiftPerMinute", s.MaxShiftPerMinute, false)
	c.share(s, "MaxFailoverPerMinute", s.MaxFailoverPerMinute, true)
	c.share(s, "HeadroomFloor", s.HeadroomFloor, true)
	c.share(s, "RetryBudget", s.RetryBudget, true)
	if s.HeadroomFloor >= 1 {
		c.fault(KindService, s.Name, "HeadroomFloor", "1 leaves no slot to use; use less than 1")
	}
	if s.Timeout <= 0 {
		c.fault(KindService, s.Name, "Timeout", "must be above 0s")
	}
	if s.MaxQueueWait < 0 || s.MaxQueueWait > s.Timeout {
		c.fault(KindService, s.Name, "MaxQueueWait", "must lie between 0s and Timeout (%v)", s.Timeout)
	}
	for _, status := range s.ShedStatuses {
		if status < 400 || status > 599 {
			c.fault(KindService, s.Name, "ShedStatuses", "%d is not an error status; use 400 to 599", status)
		}
	}
}

func (c *checker) target(t *Target) {
	c.name(KindTarget, t.Name)
	c.requireZone(KindTarget, t.Name, "Zone", t.Zone)
	if c.inv.Service(t.Service) == nil {
		c.fault(KindTarget, t.Name, "Service", "there is no service %q", t.Service)
	}
	if _, err := netip.ParseAddrPort(t.Addr); err != nil {
		c.fault(KindTarget, t.Name, "Addr", "%q is not of the form IP:port", t.Addr)
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		c.fault(KindTarget, t.Name, "Slots", "must lie between 1 and %d", maxSlots)
	}
	if t.MaxConnections < t.Slots {
		c.fault(KindTarget, t.Name, "MaxConnections", "%d is below Slots (%d)", t.MaxConnections, t.Slots)
	}
}

func (c *checker) places() {
	owner := make(map[netip.Prefix]string)
	for _, p := range c.inv.Places {
		c.name(KindPlace, p.Name)
		c.requireZone(KindPlace, p.Name, "Zone", p.Zone)
		for _, b := range p.Blocks {
			if !b.IsValid() || b != b.Masked() {
				c.fault(KindPlace, p.Name, "Blocks", "%v has bits set beyond its prefix length; use %v", b, b.Masked())
			}
			if other, ok := owner[b]; ok {
				c.fault(KindPlace, p.Name, "Blocks", "%v already belongs to place %s", b, other)
			}
			owner[b] = p.Name
		}
	}
}

func (c *checker) link(l *Link) {
	c.requireZone(KindLink, l.key(), "From", l.From)
	c.requireZone(KindLink, l.key(), "To", l.To)
	if l.RoundTrip <= 0 {
		c.fault(KindLink, l.key(), "RoundTrip", "must be above 0s")
	}
	if l.MaxConcurrent < 0 {
		c.fault(KindLink, l.key(), "MaxConcurrent", "must not be below 0; 0 means no limit")
	}
}

func (c *checker) drain(d *Drain) {
	var ok bool
	switch d.Kind {
	case KindTarget:
		ok = c.inv.Target(d.Name) != nil
	case KindZone:
		ok = c.inv.Zone(d.Name) != nil
	case KindRegion:
		ok = c.inv.Region(d.Name) != nil
	default:
		c.fault(KindDrain, d.key(), "Kind", "%q cannot be drained; use Target, Zone or Region", d.Kind)
		return
	}
	if !ok {
		c.fault(KindDrain, d.key(), "Name", "there is no %s %q", d.Kind, d.Name)
	}
}
