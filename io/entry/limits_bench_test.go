package entry

import (
	"fmt"
	"testing"
	"time"

	"auburnlatch/core/member"
	"auburnlatch/core/ratelimit"
	"auburnlatch/core/route"
	"auburnlatch/core/team"
	"auburnlatch/io/settings"
)

// BenchmarkRecordDemand measures one report of 77 teams' demand among 300 VMs, with its
// reply. A collector gets two reports per second from each VM.
func BenchmarkRecordDemand(b *testing.B) {
	v, now := newVMWithPeers(33, func(vm *member.VM) { vm.Traffic = member.Traffic{Requests: 20, Bytes: 1e5} })
	cfg := &route.Config{}
	var list []ratelimit.Demand
	for i := range 77 {
		t := &team.Team{Name: fmt.Sprint("team", i), RatePerSecond: 100, Burst: 100}
		cfg.Teams = append(cfg.Teams, t)
		list = append(list, ratelimit.Demand{Team: ratelimit.IDOf(t.Name), PerSecond: 5, Sent: 25})
	}
	table, err := route.NewTable(cfg)
	if err != nil {
		b.Fatal(err)
	}
	v.table.Store(table)
	v.Configure(&settings.Entry{Name: "self", Zone: "z0", Region: "r0", Regions: v.cfg.Load().Regions, Limits: ratelimit.Bounds{Window: 5 * time.Second}})
	active := v.findActiveAddrs(now)
	v.activeAddrs.Store(&active)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		limitTable{v}.RecordDemand(now, fmt.Sprint("addr", i%300), ratelimit.Report{Demands: list})
		i++
	}
}
