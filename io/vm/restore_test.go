package vm

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/inventory"
	"auburnlatch/io/platform"
	standin "auburnlatch/standin/platform"
)

func drainOf(id, target string, based uint64) inventory.Change {
	return inventory.Change{ID: id, Based: based, Ops: []inventory.Op{{Drain: &inventory.Drain{Kind: inventory.KindTarget, Name: target}}}}
}

// The platform comes back from a copy without a change that it had accepted. The VMs know the
// change and must commit it again, so that it holds for VMs that start later as well.
func TestAcceptedChangeSurvivesRestore(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	c := f.platform.Copy()
	if _, err := a.Accept(context.Background(), drainOf("lost", "z1-0", 1), false); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the change is in force", func() bool { return f.allAt(2) })
	f.platform.Restore(c)
	f.platform.Restore(c) // Twice in a row.
	late := f.start("late", "z1")
	f.waitFor("the change is in force on a VM that started later", func() bool {
		return late.Inventory().Version == 2 && len(late.Inventory().Drains) == 1
	})
	if _, err := late.Accept(context.Background(), drainOf("next", "z2-0", 2), false); err != nil {
		t.Fatal(err)
	}
	f.waitFor("the next change is in force everywhere", func() bool { return f.allAt(3) })
}

// The platform comes back from a copy without a change, and another change gets the change's
// version while the VMs that know the lost one are cut off. All VMs must end with what the
// platform has.
func TestVersionGivenOutAgainReplacesLostChange(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z1"}, vmSpec{"c", "z2"})
	c := f.platform.Copy()
	f.partition(true, "z1")
	store := strings.TrimPrefix(f.url, "http://")
	a.links.set(false, store)
	if _, err := a.Accept(context.Background(), drainOf("lost", "z1-0", 1), false); err != nil {
		t.Fatal(err)
	}
	f.waitFor("zone z1 has the change", func() bool { return a.Inventory().Version == 2 })
	a.links.set(true, store)
	f.platform.Restore(c)
	if _, err := f.vms["c"].Accept(context.Background(), drainOf("kept", "z2-0", 1), false); err != nil {
		t.Fatal(err)
	}
	f.partition(false, "z1")
	f.waitFor("all VMs have the change of the platform", func() bool {
		for _, v := range f.vms {
			if inv := v.Inventory(); inv.Version != 2 || inv.Drains[0].Name != "z2-0" {
				return false
			}
		}
		return true
	})
}

// A request that must not run twice has run, and the platform comes back from a copy without
// its claim. The caller repeats it, at a VM that had nothing to do with it.
func TestClaimSurvivesRestore(t *testing.T) {
	f := newFleet(t, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	c := f.platform.Copy()
	if resp, body := f.send(a, http.MethodPost, "/istoric/book", nil, keyed("k")); resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("first request: %v %s", resp, body)
	}
	f.platform.Restore(c)
	f.waitFor("the request is answered again", func() bool {
		resp, _ := f.send(f.vms["b"], http.MethodPost, "/istoric/book", nil, keyed("k"))
		return resp != nil && resp.StatusCode == http.StatusOK
	})
	if n := f.runs("k"); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}

// While a VM commits lost changes again, another VM passes it one more. The VM must not take the
// new era for complete before the platform has that change too.
func TestChangePassedOnDuringRestoreIsCommittedAgain(t *testing.T) {
	p := standin.New()
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	register := platform.NewInventoryStore(platform.New(srv.URL))
	c := newConfig(register, log.WithField("VM", "a"))
	region := func(name string, based uint64) inventory.Change {
		return inventory.Change{ID: name, Based: based, Ops: []inventory.Op{{Region: &inventory.Region{Name: name}}}}
	}
	empty := p.Copy()
	if _, err := c.accept(t.Context(), region("first", 0), false); err != nil {
		t.Fatal(err)
	}
	p.Restore(empty)
	p.SetFaults(standin.Faults{Delay: 100 * time.Millisecond})
	polled := make(chan error, 1)
	go func() { polled <- c.poll(t.Context()) }()
	<-time.After(250 * time.Millisecond) // The head and the changes are read.
	if err := c.install(time.Now(), []inventory.Change{region("second", 1)}, 0); err != nil {
		t.Fatal(err)
	}
	if err := <-polled; err != nil {
		t.Fatal(err)
	}
	p.SetFaults(standin.Faults{})
	if err := c.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if head, err := register.Head(t.Context()); err != nil || head.Version != 2 || c.Inventory().Version != 2 {
		t.Errorf("the platform has version %d (%v), the VM %d, want 2 on both", head.Version, err, c.Inventory().Version)
	}
}
