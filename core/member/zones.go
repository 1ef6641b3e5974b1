package member

import (
	"slices"
	"strings"
	"time"
)

// ZoneView is the latest roster and load of one availability zone.
type ZoneView struct {
	Zone string
	// VMs of the zone, including leaving ones.
	VMs []Address
	// Load is nil if none was ever received.
	Load *Load
	// LoadAge is the time since the publisher of Load was last seen, and RosterAge
	// the same for the publisher of VMs.
	LoadAge   time.Duration
	RosterAge time.Duration
}

// Zones returns a view of each zone of which the table has a roster or load, sorted
// by name. Several VMs may have published for a zone one after the other; the entry
// whose writer was last seen alive counts.
func (t *Table) Zones(now time.Time) []ZoneView {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make(map[string]*ZoneView)
	rosterAt := make(map[string]time.Time)
	loadAt := make(map[string]time.Time)
	for _, r := range t.entries {
		switch {
		case r.Roster != nil:
			v := viewOf(views, r.Roster.Zone)
			if at, ok := rosterAt[v.Zone]; !ok || r.lastSeen.After(at) {
				rosterAt[v.Zone] = r.lastSeen
				v.VMs, v.RosterAge = r.Roster.VMs, now.Sub(r.lastSeen)
			}
		case r.Load != nil:
			v := viewOf(views, r.Load.Zone)
			if at, ok := loadAt[v.Zone]; !ok || r.lastSeen.After(at) {
				loadAt[v.Zone] = r.lastSeen
				v.Load, v.LoadAge = r.Load, now.Sub(r.lastSeen)
			}
		}
	}
	list := make([]ZoneView, 0, len(views))
	for _, v := range views {
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b ZoneView) int { return strings.Compare(a.Zone, b.Zone) })
	return list
}

func viewOf(views map[string]*ZoneView, zone string) *ZoneView {
	v := views[zone]
	if v == nil {
		v = &ZoneView{Zone: zone}
		views[zone] = v
	}
	return v
}

// Summarize returns the roster and the load of the zone, computed from the entries
// of its VMs, for PublishZone.
func (t *Table) Summarize(now time.Time) (Roster, Load) {
	peers := t.Peers(now)
	roster := Roster{Zone: t.zone}
	load := Load{Zone: t.zone}
	own := t.Own()
	if own != nil {
		peers = append(peers, Status{VM: own, State: ownState(own)})
	}
	slices.SortFunc(peers, func(a, b Status) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	for _, m := range peers {
		if m.State != Live && m.State != Leaving {
			continue
		}
		addr := m.VM.Address
		addr.Leaving = m.State == Leaving
		roster.VMs = append(roster.VMs, addr)
		load.add(m.VM, t.usage(m.VM.Name))
	}
	return roster, load
}

func ownState(vm *VM) State {
	if vm.Leaving {
		return Leaving
	}
	return Live
}

// usage returns the usage that a VM published last, empty if there is none.
func (t *Table) usage(vm string) *Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.entries[usageKey(vm)]; r != nil {
		return r.Usage
	}
	return &Usage{}
}

// add adds one VM to the zone's summary.
func (l *Load) add(vm *VM, u *Usage) {
	if l.VMCount == 0 || vm.Version < l.MinVersion {
		l.MinVersion = vm.Version
	}
	l.VMCount++
	if u.Settled {
		l.Settled++
	}
	for _, s := range u.Services {
		l.addService(s)
	}
	for _, d := range u.Demands {
		l.addDemand(d)
	}
}

func (l *Load) addService(s ServiceLoad) {
	for i := range l.Services {
		if sum := &l.Services[i]; sum.Service == s.Service {
			sum.Slots += s.Slots
			sum.InUse += s.InUse
			sum.Queued += s.Queued
			return
		}
	}
	l.Services = append(l.Services, s)
}

func (l *Load) addDemand(d Demand) {
	for i := range l.Demands {
		if sum := &l.Demands[i]; sum.Service == d.Service && sum.Origin == d.Origin {
			sum.Slots += d.Slots
			return
		}
	}
	l.Demands = append(l.Demands, d)
}

// Service returns the load of one service, zero if the zone has none. l may be nil.
func (l *Load) Service(name string) ServiceLoad {
	if l != nil {
		for _, s := range l.Services {
			if s.Service == name {
				return s
			}
		}
	}
	return ServiceLoad{Service: name}
}
