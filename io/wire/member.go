package wire

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/dispatch"
	"auburnlatch/core/member"
	"auburnlatch/schema"
)

// ageUnit is the unit of the ages of stamps on the wire.
const ageUnit = 100 * time.Millisecond

// Stamps maps the stamps of a digest. It returns an error if the columns differ in
// length.
func Stamps(m *schema.Stamps) ([]member.Stamp, error) {
	n := len(m.GetKeys())
	if len(m.GetIncarnations()) != n || len(m.GetSeqs()) != n || len(m.GetBeats()) != n || len(m.GetAgesTenths()) != n {
		return nil, errors.New("stamps: the columns differ in length")
	}
	out := make([]member.Stamp, n)
	for i := range out {
		out[i] = member.Stamp{
			Key: member.Key(m.Keys[i]), Incarnation: m.Incarnations[i], Seq: m.Seqs[i], Beat: m.Beats[i],
			Age: time.Duration(m.AgesTenths[i]) * ageUnit,
		}
	}
	return out, nil
}

// FromStamps maps the stamps of a digest.
func FromStamps(list []member.Stamp) *schema.Stamps {
	m := &schema.Stamps{}
	for _, s := range list {
		m.Keys = append(m.Keys, uint64(s.Key))
		m.Incarnations = append(m.Incarnations, s.Incarnation)
		m.Seqs = append(m.Seqs, s.Seq)
		m.Beats = append(m.Beats, s.Beat)
		m.AgesTenths = append(m.AgesTenths, uint32(s.Age/ageUnit))
	}
	return m
}

// Keys maps keys of entries.
func Keys(list []uint64) []member.Key {
	out := make([]member.Key, len(list))
	for i, k := range list {
		out[i] = member.Key(k)
	}
	return out
}

func fromKeys(list []member.Key) []uint64 {
	var out []uint64
	for _, key := range list {
		out = append(out, uint64(key))
	}
	return out
}

// Delta maps the reply to a digest.
func Delta(m *schema.Delta) (member.Delta, error) {
	entries, err := Entries(m.GetEntries())
	if err != nil {
		return member.Delta{}, err
	}
	beats, err := Stamps(m.GetBeats())
	return member.Delta{Entries: entries, Beats: beats, Want: Keys(m.GetWant())}, err
}

// FromDelta maps the reply to a digest.
func FromDelta(d member.Delta) *schema.Delta {
	return &schema.Delta{Entries: FromEntries(d.Entries), Beats: FromStamps(d.Beats), Want: fromKeys(d.Want)}
}

// Entries maps entries. Those of a kind unknown to this version are left out.
func Entries(list []*schema.Entry) ([]member.Entry, error) {
	out := make([]member.Entry, 0, len(list))
	for _, m := range list {
		stamps, err := Stamps(m.GetStamp())
		if err != nil || len(stamps) != 1 {
			return nil, errors.Newf("entry: %d stamps, want 1 (%v)", len(stamps), err)
		}
		e := member.Entry{Stamp: stamps[0]}
		switch body := m.GetBody().(type) {
		case *schema.Entry_Vm:
			e.VM = vmState(body.Vm)
		case *schema.Entry_Usage:
			e.Usage = &member.Usage{
				VM: body.Usage.GetVm(), Settled: body.Usage.GetSettled(), Services: services(body.Usage.GetServices()), Demands: demands(body.Usage.GetDemands()),
			}
		case *schema.Entry_Roster:
			e.Roster = roster(body.Roster)
		case *schema.Entry_Load:
			e.Load = load(body.Load)
		case *schema.Entry_Report:
			e.Report = report(body.Report)
		default:
			continue
		}
		out = append(out, e)
	}
	return out, nil
}

// FromEntries maps entries.
func FromEntries(list []member.Entry) []*schema.Entry {
	out := make([]*schema.Entry, 0, len(list))
	for _, e := range list {
		m := &schema.Entry{Stamp: FromStamps([]member.Stamp{e.Stamp})}
		switch {
		case e.VM != nil:
			m.Body = &schema.Entry_Vm{Vm: fromVMState(e.VM)}
		case e.Usage != nil:
			m.Body = &schema.Entry_Usage{Usage: &schema.VmUsage{
				Vm: e.Usage.VM, Settled: e.Usage.Settled, Services: fromServices(e.Usage.Services), Demands: fromDemands(e.Usage.Demands),
			}}
		case e.Roster != nil:
			m.Body = &schema.Entry_Roster{Roster: fromRoster(e.Roster)}
		case e.Load != nil:
			m.Body = &schema.Entry_Load{Load: fromLoad(e.Load)}
		case e.Report != nil:
			m.Body = &schema.Entry_Report{Report: fromReport(e.Report)}
		}
		out = append(out, m)
	}
	return out
}

func vmState(m *schema.VmState) *member.VM {
	vm := &member.VM{
		Name: m.GetName(), Zone: m.GetZone(), Leaving: m.GetLeaving(), Version: m.GetInventoryVersion(), Era: m.GetInventoryEra(), Pending: m.GetPending(), Dispatches: m.GetDispatches(),
		Address: member.Address{
			Name: m.GetName(), Zone: m.GetZone(), Caller: m.GetCallerAddr(), Forward: m.GetForwardAddr(),
			Peer: m.GetPeerAddr(), Operator: m.GetOperatorAddr(), Leaving: m.GetLeaving(),
		},
		Capacity: member.Capacity{LinkMbps: m.GetCapacity().GetLinkMbps(), Cores: m.GetCapacity().GetCores()},
		Traffic:  member.Traffic{Requests: m.GetTraffic().GetRequests(), Bytes: m.GetTraffic().GetBytes()},

		PlatformTrip: time.Duration(m.GetPlatformTripMicros()) * time.Microsecond,
		CutOff:       m.GetCutOff(), Relays: m.GetRelays(),
		Held: map[string]int{}, Acks: map[string]uint64{}, Gone: map[string]uint64{}, Health: map[string]string{},
	}
	for _, h := range m.GetHeld() {
		vm.Held[h.GetTarget()] = int(h.GetSlots())
	}
	for _, a := range m.GetAcks() {
		vm.Acks[a.GetVm()] = a.GetSeq()
	}
	for _, g := range m.GetGone() {
		vm.Gone[g.GetVm()] = g.GetSeq()
	}
	for _, h := range m.GetHealth() {
		vm.Health[h.GetTarget()] = h.GetState()
	}
	return vm
}

func fromVMState(vm *member.VM) *schema.VmState {
	m := &schema.VmState{
		Name: vm.Name, Zone: vm.Zone, Leaving: vm.Leaving, InventoryVersion: vm.Version, InventoryEra: vm.Era, Pending: vm.Pending, Dispatches: vm.Dispatches,
		CallerAddr: vm.Address.Caller, ForwardAddr: vm.Address.Forward, PeerAddr: vm.Address.Peer,
		OperatorAddr: vm.Address.Operator,
	}
	if vm.Capacity != (member.Capacity{}) {
		m.Capacity = &schema.VmCapacity{LinkMbps: vm.Capacity.LinkMbps, Cores: vm.Capacity.Cores}
	}
	m.CutOff, m.Relays = vm.CutOff, vm.Relays
	m.PlatformTripMicros = uint32(min(vm.PlatformTrip, time.Hour) / time.Microsecond)
	if vm.Traffic != (member.Traffic{}) {
		m.Traffic = &schema.VmTraffic{Requests: vm.Traffic.Requests, Bytes: vm.Traffic.Bytes}
	}
	for target, slots := range vm.Held {
		m.Held = append(m.Held, &schema.Held{Target: target, Slots: int32(slots)})
	}
	for vmName, seq := range vm.Acks {
		m.Acks = append(m.Acks, &schema.MateAck{Vm: vmName, Seq: seq})
	}
	for vmName, incarnation := range vm.Gone {
		m.Gone = append(m.Gone, &schema.MateAck{Vm: vmName, Seq: incarnation})
	}
	for target, state := range vm.Health {
		m.Health = append(m.Health, &schema.Health{Target: target, State: state})
	}
	return m
}

func services(list []*schema.ServiceLoad) []member.ServiceLoad {
	var out []member.ServiceLoad
	for _, s := range list {
		out = append(out, member.ServiceLoad{
			Service: s.GetService(), Slots: int(s.GetSlots()), InUse: int(s.GetInUse()), Queued: int(s.GetQueued()),
		})
	}
	return out
}

func fromServices(list []member.ServiceLoad) []*schema.ServiceLoad {
	var out []*schema.ServiceLoad
	for _, s := range list {
		out = append(out, &schema.ServiceLoad{
			Service: s.Service, Slots: int32(s.Slots), InUse: int32(s.InUse), Queued: int32(s.Queued),
		})
	}
	return out
}

func demands(list []*schema.Demand) []member.Demand {
	var out []member.Demand
	for _, d := range list {
		out = append(out, member.Demand{Service: d.GetService(), Origin: d.GetOrigin(), Slots: d.GetSlots()})
	}
	return out
}

func fromDemands(list []member.Demand) []*schema.Demand {
	var out []*schema.Demand
	for _, d := range list {
		out = append(out, &schema.Demand{Service: d.Service, Origin: d.Origin, Slots: d.Slots})
	}
	return out
}

func roster(m *schema.ZoneRoster) *member.Roster {
	r := &member.Roster{Zone: m.GetZone()}
	for _, vm := range m.GetVms() {
		r.VMs = append(r.VMs, member.Address{
			Name: vm.GetName(), Zone: m.GetZone(), Caller: vm.GetCallerAddr(), Forward: vm.GetForwardAddr(),
			Peer: vm.GetPeerAddr(), Operator: vm.GetOperatorAddr(), Leaving: vm.GetLeaving(),
		})
	}
	return r
}

func fromRoster(r *member.Roster) *schema.ZoneRoster {
	m := &schema.ZoneRoster{Zone: r.Zone}
	for _, vm := range r.VMs {
		m.Vms = append(m.Vms, &schema.VmAddress{
			Name: vm.Name, CallerAddr: vm.Caller, ForwardAddr: vm.Forward, PeerAddr: vm.Peer,
			OperatorAddr: vm.Operator, Leaving: vm.Leaving,
		})
	}
	return m
}

func load(m *schema.ZoneLoad) *member.Load {
	return &member.Load{
		Zone: m.GetZone(), Services: services(m.GetServices()), Demands: demands(m.GetDemands()),
		MinVersion: m.GetMinVersion(), VMCount: int(m.GetVmCount()), Settled: int(m.GetSettled()),
	}
}

func fromLoad(l *member.Load) *schema.ZoneLoad {
	return &schema.ZoneLoad{
		Zone: l.Zone, Services: fromServices(l.Services), Demands: fromDemands(l.Demands),
		MinVersion: l.MinVersion, VmCount: int32(l.VMCount), Settled: int32(l.Settled),
	}
}

// report maps a report and sorts its keys.
func report(m *schema.ZoneReport) *member.Report {
	silent := Keys(m.GetSilent())
	slices.Sort(silent)
	return &member.Report{Zone: m.GetZone(), VM: m.GetVm(), Silent: silent}
}

func fromReport(r *member.Report) *schema.ZoneReport {
	return &schema.ZoneReport{Zone: r.Zone, Vm: r.VM, Silent: fromKeys(r.Silent)}
}

// ZoneSums maps the hashes of zones' members.
func ZoneSums(list []*schema.ZoneSum) []member.ZoneSum {
	out := make([]member.ZoneSum, 0, len(list))
	for _, m := range list {
		out = append(out, member.ZoneSum{Zone: m.GetZone(), Sum: m.GetSum()})
	}
	return out
}

// FromZoneSums maps the hashes of zones' members.
func FromZoneSums(list []member.ZoneSum) []*schema.ZoneSum {
	out := make([]*schema.ZoneSum, 0, len(list))
	for _, s := range list {
		out = append(out, &schema.ZoneSum{Zone: s.Zone, Sum: s.Sum})
	}
	return out
}

// FromTarget maps the state of a target for the operator's dump.
func FromTarget(t dispatch.TargetState) *schema.TargetDump {
	return &schema.TargetDump{
		Target: t.Target, Service: t.Service, Slots: int32(t.Slots), InForce: int32(t.InForce), Intent: int32(t.Intent),
		InUse: int32(t.InUse), Health: t.Health.String(), Drained: t.Drained, Latency: FromDuration(t.Latency),
	}
}
