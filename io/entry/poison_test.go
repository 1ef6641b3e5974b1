package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"auburnlatch/io/settings"
)

// Guards against a request that ends one upstream after the other, at all VMs, and against
// refusing those under way with it.
func TestPoisonRequestIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
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
	storm(vms, 0, 4*time.Second)
	wg.Wait()
	if served != asked {
		t.Errorf("%d of %d callers of other requests were never served", asked-served, asked)
	}
	h.mustStop("at the VMs that saw it")
	h.mustHaveEnded()
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	storm([]*runningVM{late}, 1000, time.Second)
	h.mustStop("at a VM that has started since")
}

// Guards against a request that ends upstreams anew once all VMs were lost.
func TestPoisonRequestIsKnownAfterTheLossOfAllVMs(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	storm(vms, 0, 2*time.Second)
	for _, v := range vms {
		v.stop()
		<-v.done
	}
	vms = poisonFleet(t, p, 3)
	storm(vms, 1000, 2*time.Second)
	h.mustStop("after all VMs had started anew")
}

// isolated is a platform that names no VM the others, as where availability zones are
// cut off from each other.
type isolated struct{ *fakePlatform }

func (isolated) Announce(context.Context, string, string) error { return nil }
func (isolated) VMs(context.Context) ([]string, error)          { return nil, nil }

// Guards against VMs of a zone that is cut off, which know nothing of a request.
func TestPoisonRequestIsKnownAcrossACut(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	a := startVM(t, "a", isolated{p}, nil)
	b := startVM(t, "b", isolated{p}, func(cfg *settings.Entry) { cfg.Zone = "y" })
	ready(t, a)
	ready(t, b)
	<-time.After(time.Second) // Neither hears the other.
	storm([]*runningVM{a}, 0, 2*time.Second)
	storm([]*runningVM{b}, 1000, 2*time.Second)
	h.mustStop("at a VM that only reaches the platform")
}

// Guards against what is known of a request being lost with the platform or with the VMs.
func TestPoisonRequestIsKnownWhileThePlatformIsAway(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	p.setAway(true)
	storm(vms, 0, 2*time.Second)
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	storm([]*runningVM{late}, 1000, time.Second)
	h.mustStop("while the platform is away")
	p.setAway(false)
	<-time.After(2 * time.Second)
	for _, v := range append(vms, late) {
		v.stop()
		<-v.done
	}
	storm(poisonFleet(t, p, 2), 2000, 2*time.Second)
	h.mustStop("after the platform was back and all VMs had started anew")
}

// Guards against a request that ends all upstreams before any VM can know, and comes again.
func TestPoisonRequestThatComesInABurstIsStopped(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 3)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() { vms[i%len(vms)].ask(poisonPath, fmt.Sprint("burst", i)) })
		<-time.After(2 * time.Millisecond)
	}
	wg.Wait()
	<-time.After(time.Second) // All are back.
	storm(vms, 1000, 3*time.Second)
	h.mustStop("after a burst")
	h.mustHaveEnded()
}

// Guards against a VM that starts before there is a ban, and tries what the others suspect.
func TestPoisonRequestIsSuspectedByVMsThatStartLater(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	vms := poisonFleet(t, p, 2)
	for i := range 40 {
		go vms[i%len(vms)].ask(poisonPath, fmt.Sprint("burst", i))
	}
	<-time.After(time.Second)
	before, ended, _ := h.reached()
	if ended < 3 {
		t.Fatalf("%d upstreams ended under the request, so this test says nothing", ended)
	}
	late := startVM(t, "late", p, func(cfg *settings.Entry) { cfg.Seeds = []string{vms[0].cfg.PeerAddr} })
	ready(t, late)
	eventually(t, "it knows the others", func() bool { return late.Figures(time.Now()).LiveVMs == 3 })
	<-time.After(time.Second)
	for i := range 20 {
		go late.ask(poisonPath, fmt.Sprint("again", i)) // At the same moment: suspected, it is tried once.
	}
	<-time.After(200 * time.Millisecond)
	if after, _, _ := h.reached(); len(after)-len(before) > 1 {
		t.Errorf("a VM that started later sent the request on %d times at once, want one trial", len(after)-len(before))
	}
}

// Guards against a ban of a look-up that all ask for in place of the request that ends upstreams.
func TestPopularRequestIsNotBannedForAnother(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
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
		storm(vms, 0, 300*time.Millisecond)
		<-time.After(time.Second) // All are back.
	}
	storm(vms, 2000, 2*time.Second)
	stop()
	wg.Wait()
	h.mustHaveEnded()
	for _, v := range vms {
		if n := v.Figures(time.Now()).Poison.Bans; n != 1 {
			t.Errorf("%s bans %d requests, want the one that ends upstreams alone", v.cfg.Name, n)
		}
		if !v.served("/get/popular", "after"+v.cfg.Name) {
			t.Errorf("%s does not serve the look-up that all ask for", v.cfg.Name)
		}
	}
	h.mustStop("in bursts beside a popular one")
}

// Guards against a request whose upstreams fall silent, so that no connection tells of an end.
func TestPoisonRequestIsStoppedWhereUpstreamsFallSilent(t *testing.T) {
	p := poisonPlatform()
	h := startHerd(t, p, 8)
	h.silent = true
	vms := poisonFleet(t, p, 3)
	storm(vms, 0, 5*time.Second)
	began, ended, _ := h.reached()
	if ended < 3 {
		t.Fatalf("%d upstreams fell silent, so this test says nothing", ended)
	}
	late := 0
	for _, at := range began {
		if at.After(h.ended[2].Add(2*time.Second + tellWithin)) { // The route's time limit, twice.
			late++
		}
	}
	t.Logf("reached upstreams %d times, %d late, %d fell silent", len(began), late, ended)
	if late > sentAfterwards {
		t.Errorf("sent to upstreams %d times after all VMs had to know, %d fell silent in all", late, ended)
	}
}
