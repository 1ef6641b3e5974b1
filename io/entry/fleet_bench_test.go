package entry_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/core/target"
	"auburnlatch/core/team"
	"auburnlatch/io/entry"
	"auburnlatch/io/logline"
	"auburnlatch/io/settings"
	"auburnlatch/standin/rusage"
)

// BenchmarkFleetAtRest runs a fleet without callers for some seconds. Ten upstreams per VM
// are registered, and five of them change in each second. It reports the processor time per
// VM for sending and receiving updates, derived from that of the whole process.
func BenchmarkFleetAtRest(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprint("VMs=", n), func(b *testing.B) { fleetAtRest(b, n) })
	}
}

func fleetAtRest(b *testing.B, n int) {
	p := newPlatform()
	cfg := config(1)
	for i := range 77 {
		cfg.Teams = append(cfg.Teams, &team.Team{Name: fmt.Sprint("team", i), Keys: []string{fmt.Sprint("key", i)}, RatePerSecond: 100, Burst: 100})
	}
	p.set(entry.TableRules, "config", cfg)
	zones := []string{"z", "y", "x"}
	enroll := func(i, slots int) {
		p.set(entry.TableTargets, fmt.Sprint("i-", i), target.Registration{Service: "s", Addr: "127.0.0.1:1", Zone: zones[i%3], Slots: slots})
	}
	for i := range 10 * n {
		enroll(i, 4)
	}
	var seeds []string
	var fleet []*runningVM
	for i := range n {
		v := startVMLogging(b, fmt.Sprint("vm", i), p, func(cfg *settings.Entry) {
			cfg.Zone, cfg.Region, cfg.Seeds, cfg.FirstStart = zones[i%3], cfg.Regions[zones[i%3]], seeds, true
			cfg.RevokeWithin, cfg.LeaveWithin = 5*time.Second, 4*time.Second
			cfg.Limits = ratelimit.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
		}, logline.New(io.Discard, false))
		if len(seeds) < 3 {
			seeds = append(seeds, v.cfg.PeerAddr)
		}
		fleet = append(fleet, v)
	}
	for _, v := range fleet {
		ready(b, v)
		eventually(b, "the VMs know each other", func() bool { return v.Figures(time.Now()).LiveVMs == n })
	}
	// changes updates registrations of upstreams for span.
	changes := func(every, span time.Duration) {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for i := range int(span / every) {
			<-tick.C
			enroll(i, 5+i%2)
		}
	}
	const every, settle, span = 200 * time.Millisecond, 4 * time.Second, 5 * time.Second
	changes(every, settle) // A VM's first seconds are not counted.
	before, from := processorTime(b), time.Now()
	for b.Loop() {
		changes(every, span)
	}
	took, past := processorTime(b)-before, time.Since(from)
	b.ReportMetric(took.Seconds()*1000/past.Seconds()/float64(n), "cpu-ms/VM-s")
	b.ReportMetric(0, "ns/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	used, err := rusage.ProcessorTime()
	if err != nil {
		b.Fatal(err)
	}
	return used
}
