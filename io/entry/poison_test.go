package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"auburnlatch/io/settings"
)

// Guards against a poison request that crashes one upstream after the other, through all VMs,
// and against refusing other requests in flight with it.
func TestPoisonRequestIsStopped(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	vms := poisonFleet(t, p, 4)
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked, served := 0, 0
	for i := range 120 {
		wg.Go(func() {
			<-time.After(time.Duration(i) * 25 * time.Millisecond)
			ok := vms[i%len(vms)].served(fmt.Sprint("/get/", i), fmt.Sprint("innocent", i))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if ok {
				served++
			}
		})
	}
	floodPoison(vms, 0, 4*time.Second)
	wg.Wait()
	if served != asked {
		t.Errorf("%d of %d callers of other requests were never served", asked-served, asked)
	}
	f.requireStopped("at the VMs that saw it")
	f.requireCrashes()
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	floodPoison([]*runningVM{late}, 1000, time.Second)
	f.requireStopped("at a VM that has started since")
}

// Guards against a poison request that crashes upstreams again after all VMs were restarted.
func TestPoisonRequestIsKnownAfterRestartOfAllVMs(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	vms := poisonFleet(t, p, 3)
	floodPoison(vms, 0, 2*time.Second)
	for _, v := range vms {
		v.stop()
		<-v.done
	}
	vms = poisonFleet(t, p, 3)
	floodPoison(vms, 1000, 2*time.Second)
	f.requireStopped("after all VMs had restarted")
}

// isolated is a platform that does not return the registered VMs, so that VMs do not find
// each other, as when availability zones are partitioned.
type isolated struct{ *fakePlatform }

func (isolated) Announce(context.Context, string, string) error { return nil }
func (isolated) VMs(context.Context) ([]string, error)          { return nil, nil }

// Guards against VMs of a partitioned zone that do not know a poison request.
func TestPoisonRequestIsKnownAcrossPartition(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	a := startVM(t, "a", isolated{p}, nil)
	b := startVM(t, "b", isolated{p}, func(cfg *settings.Entry) { cfg.Zone = "y" })
	ready(t, a)
	ready(t, b)
	<-time.After(time.Second) // Neither receives from the other.
	floodPoison([]*runningVM{a}, 0, 2*time.Second)
	floodPoison([]*runningVM{b}, 1000, 2*time.Second)
	f.requireStopped("at a VM that only reaches the platform")
}

// Guards against losing the record of a poison request with the platform or with the VMs.
func TestPoisonRequestIsKnownWithoutPlatform(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	vms := poisonFleet(t, p, 3)
	p.setUnavailable(true)
	floodPoison(vms, 0, 2*time.Second)
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	floodPoison([]*runningVM{late}, 1000, time.Second)
	f.requireStopped("while the platform is unavailable")
	p.setUnavailable(false)
	<-time.After(2 * time.Second)
	for _, v := range append(vms, late) {
		v.stop()
		<-v.done
	}
	floodPoison(poisonFleet(t, p, 2), 2000, 2*time.Second)
	f.requireStopped("after the platform was available again and all VMs had restarted")
}

// Guards against a poison request that crashes all upstreams before any VM can know, and is
// sent again.
func TestPoisonRequestThatComesInABurstIsStopped(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	vms := poisonFleet(t, p, 3)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { vms[i%len(vms)].ask(poisonPath, fmt.Sprint("burst", i)) })
		<-time.After(2 * time.Millisecond)
	}
	wg.Wait()
	<-time.After(time.Second) // All upstreams are up again.
	floodPoison(vms, 1000, 3*time.Second)
	f.requireStopped("after a burst")
	f.requireCrashes()
}

// Guards against a VM that starts before there is a ban, and tries a request that the others
// suspect.
func TestPoisonRequestIsSuspectedByVMsThatStartLater(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	vms := poisonFleet(t, p, 2)
	for i := range 40 {
		go vms[i%len(vms)].ask(poisonPath, fmt.Sprint("burst", i))
	}
	<-time.After(time.Second)
	before, crashed, _ := f.reached()
	if crashed < 3 {
		t.Fatalf("%d upstreams crashed under the request, so this test is inconclusive", crashed)
	}
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	eventually(t, "it knows the others", func() bool { return late.Figures(time.Now()).LiveVMs == 3 })
	<-time.After(time.Second)
	for i := range 20 {
		go late.ask(poisonPath, fmt.Sprint("again", i)) // All at once: as a suspect, the request gets a single trial.
	}
	<-time.After(200 * time.Millisecond)
	if after, _, _ := f.reached(); len(after)-len(before) > 1 {
		t.Errorf("a VM that started later sent the request on %d times at once, want one trial", len(after)-len(before))
	}
}

// Guards against a ban of a popular request in place of the poison request.
func TestPopularRequestIsNotBannedForAnother(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	vms := poisonFleet(t, p, 3)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				vms[n%len(vms)].ask("/get/popular", fmt.Sprint("popular", i, "-", n))
			}
		})
	}
	for range 3 {
		floodPoison(vms, 0, 300*time.Millisecond)
		<-time.After(time.Second) // All upstreams are up again.
	}
	floodPoison(vms, 2000, 2*time.Second)
	stop()
	wg.Wait()
	f.requireCrashes()
	for _, v := range vms {
		if n := v.Figures(time.Now()).Poison.Bans; n != 1 {
			t.Errorf("%s bans %d requests, want only the poison request", v.cfg.Name, n)
		}
		if !v.served("/get/popular", "after"+v.cfg.Name) {
			t.Errorf("%s does not serve the popular request", v.cfg.Name)
		}
	}
	f.requireStopped("in bursts beside a popular one")
}

// Guards against a poison request whose upstreams fall silent, so that no closed connection
// indicates a crash.
func TestPoisonRequestIsStoppedWhereUpstreamsFallSilent(t *testing.T) {
	p := poisonPlatform()
	f := startCrashFleet(t, p, 8)
	f.silent = true
	vms := poisonFleet(t, p, 3)
	floodPoison(vms, 0, 5*time.Second)
	sent, silent, _ := f.reached()
	if silent < 3 {
		t.Fatalf("%d upstreams fell silent, so this test is inconclusive", silent)
	}
	late := 0
	for _, at := range sent {
		if at.After(f.crashed[2].Add(2*time.Second + knownWithin)) { // The route's time limit, twice.
			late++
		}
	}
	t.Logf("reached upstreams %d times, %d late, %d fell silent", len(sent), late, silent)
	if late > maxSentAfterwards {
		t.Errorf("sent to upstreams %d times after the time by which all VMs must know, %d fell silent in all", late, silent)
	}
}
