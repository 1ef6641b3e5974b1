package entry_test

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"auburnlatch/core/ratelimit"
	"auburnlatch/core/target"
	"auburnlatch/core/team"
	"auburnlatch/io/entry"
	"auburnlatch/io/logline"
	"auburnlatch/io/settings"
)

// BenchmarkFleetAtRest runs a fleet without callers for some seconds, of which ten
// upstreams a VM are registered and five change in each second. It reports the processor
// time that a VM takes for what it tells and hears, worked out over the whole process.
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
	}
	time.Sleep(4 * time.Second) // They have heard of each other.
	const span = 5 * time.Second
	before, from := processorTime(b), time.Now()
	changes := 0
	for b.Loop() {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			enroll(changes, 5+changes%2)
			changes++
		}
	}
	took, past := processorTime(b)-before, time.Since(from)
	b.ReportMetric(took.Seconds()*1000/past.Seconds()/float64(n), "cpu-ms/VM-s")
	b.ReportMetric(0, "ns/op")
}

// processorTime is what the process has taken so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
