package vm

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"auburnlatch/core/claim"
	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/steer"
	"auburnlatch/io/operator"
	"auburnlatch/io/platform"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// Inventory implements operator.VM.
func (v *VM) Inventory() *inventory.Inventory { return v.config.Inventory() }

// Accept implements operator.VM.
func (v *VM) Accept(ctx context.Context, c inventory.Change, insist bool) (*inventory.Inventory, error) {
	next, err := v.config.accept(ctx, c, insist)
	if err == nil {
		v.refreshSoon()
	}
	return next, err
}

// ChangesAfter implements operator.VM.
func (v *VM) ChangesAfter(version uint64) ([]inventory.Change, bool) {
	return v.config.ChangesAfter(version)
}

// Claims implements operator.VM.
func (v *VM) Claims(ctx context.Context) ([]platform.ListedClaim, error) { return v.claims.List(ctx) }

// ResolveClaim implements operator.VM.
func (v *VM) ResolveClaim(ctx context.Context, now time.Time, key claim.Key, ran bool) error {
	return v.claims.Resolve(ctx, now, key, ran)
}

// Status implements operator.VM.
func (v *VM) Status(now time.Time) *schema.Status {
	return &schema.Status{
		Vm: v.cfg.Name, Zone: v.cfg.Zone, Ready: v.Ready(), Leaving: v.leaving.Load(),
		Version: v.config.Inventory().Version, Zones: v.zoneStatus(now), PlatformAge: v.platformAge(now),
	}
}

// platformAge returns the time since the platform last answered, nil if it never has.
func (v *VM) platformAge(now time.Time) *durationpb.Duration {
	at := v.platform.AnsweredAt()
	if at.IsZero() {
		return nil
	}
	return durationpb.New(now.Sub(at))
}

// zoneStatus returns the status of all zones of the inventory. A zone of which this
// VM has received no load has no figures.
func (v *VM) zoneStatus(now time.Time) []*schema.ZoneStatus {
	views := make(map[string]member.ZoneView)
	for _, z := range v.zoneViews(now) {
		views[z.Zone] = z
	}
	inv := v.config.Inventory()
	var list []*schema.ZoneStatus
	for _, z := range inv.Zones {
		st := &schema.ZoneStatus{Zone: z.Name, Drained: inv.ZoneDrained(z.Name)}
		if view, ok := views[z.Name]; ok && view.Load != nil {
			st.VmCount, st.MinVersion, st.Age = int32(view.Load.VMCount), view.Load.MinVersion, durationpb.New(view.LoadAge)
			for _, s := range view.Load.Services {
				st.Services = append(st.Services, &schema.ServiceStatus{
					Service: s.Service, Slots: int32(s.Slots), InUse: int32(s.InUse), Queued: int32(s.Queued),
				})
			}
		}
		list = append(list, st)
	}
	return list
}

// Dump implements operator.VM.
func (v *VM) Dump(now time.Time) *schema.Dump {
	d := &schema.Dump{
		Vm: v.cfg.Name, Zone: v.cfg.Zone, Incarnation: v.incarnation, At: timestamppb.New(now),
		Ready: v.Ready(), Leaving: v.leaving.Load(), Version: v.config.Inventory().Version,
		Zones: v.zoneStatus(now), Targets: targetDumps(v.pool.Targets()),
		RequestsInFlight: int32(v.callers.InFlight()), PlatformAge: v.platformAge(now),
	}
	for _, m := range v.table.Peers(now) {
		d.Members = append(d.Members, &schema.MemberDump{
			Name: m.VM.Name, State: m.State.String(), Incarnation: m.Stamp.Incarnation, Seq: m.Stamp.Seq,
			Age: durationpb.New(now.Sub(m.Heard)), Version: m.VM.Version,
		})
	}
	for _, key := range v.rows.Keys() {
		d.Rows = append(d.Rows, v.rowDump(now, key))
	}
	for _, l := range v.callers.OpenClaims() {
		d.OpenClaims = append(d.OpenClaims, operator.ClaimDump(l))
	}
	return d
}

// rowDump returns the weights of one row, in use and wanted, with an estimate of the
// time until they are equal.
func (v *VM) rowDump(now time.Time, key steer.RowKey) *schema.RowDump {
	row, wanted := v.rows.Row(key), v.rows.Wanted(key)
	weights := row.Weights()
	d := &schema.RowDump{
		Service: key.Service, Origin: key.Origin, Weights: wire.FromWeights(weights), Wanted: wire.FromWeights(wanted),
	}
	for _, m := range row.Moves(now) {
		d.MovedInWindow += m.Share
	}
	if len(wanted) == 0 {
		return d
	}
	d.Left = steer.Distance(weights, wanted)
	if took, ok := row.Estimate(now, wanted, v.rows.Limit(key), steerInterval, estimateHorizon); ok {
		d.Estimate = wire.FromDuration(took)
	}
	return d
}

func targetDumps(list []dispatch.TargetState) []*schema.TargetDump {
	var out []*schema.TargetDump
	for _, t := range list {
		out = append(out, wire.FromTarget(t))
	}
	return out
}

// Explain implements operator.VM.
func (v *VM) Explain(now time.Time, client netip.Addr, service string) *schema.Explanation {
	answer := v.lookups.Load().Lookup(client)
	key := steer.RowKey{Service: service, Origin: answer.Zone}
	e := &schema.Explanation{
		Client: client.String(), Service: service, Place: answer.Place, Origin: answer.Zone,
		Dispatchers: v.pool.Dispatchers(service),
	}
	for _, vm := range answer.VMs {
		e.Vms = append(e.Vms, vm.Caller)
	}
	if v.config.Inventory().Service(service) == nil {
		e.Reasons = append(e.Reasons, fmt.Sprintf("there is no service %q in version %d", service, v.config.Inventory().Version))
		return e
	}
	e.Weights, e.Wanted = wire.FromWeights(v.rows.Row(key).Weights()), wire.FromWeights(v.rows.Wanted(key))
	for _, t := range v.pool.Targets() {
		if t.Service == service {
			e.Targets = append(e.Targets, wire.FromTarget(t))
		}
	}
	e.Reasons, e.Row = v.reasons(now, answer, key), v.rowDump(now, key)
	return e
}

// reasons explains the answer in prose.
func (v *VM) reasons(now time.Time, answer *steer.Answer, key steer.RowKey) []string {
	var list []string
	if answer.Place == "" {
		list = append(list, fmt.Sprintf("no place has the client's address, so its origin is this VM's zone %s", v.cfg.Zone))
	} else {
		list = append(list, fmt.Sprintf("the client's block belongs to place %s, nearest to zone %s", answer.Place, answer.Zone))
	}
	list = append(list, "its VMs are the zone's live ones in the place's own order, then one of each of the nearest other zones")
	d := v.rowDump(now, key)
	switch {
	case d.GetLeft() < minReportedDistance:
		list = append(list, "the weights in use are the wanted ones")
	case d.GetEstimate() == nil:
		list = append(list, fmt.Sprintf("%.1f%% of the traffic is still to move, which takes more than a day", percent*d.GetLeft()))
	default:
		list = append(list, fmt.Sprintf("%.1f%% of the traffic is still to move, in about %v; %.1f%% moved within the last minute, which the cap bounds",
			percent*d.GetLeft(), d.GetEstimate().AsDuration(), percent*d.GetMovedInWindow()))
	}
	return append(list, "in its zone a request gets a free slot of the least used healthy upstream; see the targets for this VM's part of the slots")
}

const (
	// minReportedDistance is the distance from the wanted weights, as a fraction of
	// the traffic, below which Explain reports the weights as equal.
	minReportedDistance = 0.001
	percent             = 100
	// estimateHorizon is the longest time that an estimate can give.
	estimateHorizon = 24 * time.Hour
)
