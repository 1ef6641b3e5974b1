package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/inventory"
	"auburnlatch/io/operator"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// pollInterval is how often a waiting command polls the VM's status.
const pollInterval = 200 * time.Millisecond

type checkCmd struct {
	File string `arg:"" help:"Inventory file."`
}

// Run checks an inventory file.
func (c *checkCmd) Run(a *app) error {
	inv, err := operator.LoadInventory(c.File)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(wire.FromInventory(inv))
	}
	fmt.Printf("%s: good: %d regions, %d zones, %d services, %d targets, %d places\n",
		c.File, len(inv.Regions), len(inv.Zones), len(inv.Services), len(inv.Targets), len(inv.Places))
	return nil
}

type diffCmd struct {
	File string `arg:"" help:"Inventory file."`
}

// Run prints the operations that turn the inventory in force into the file's.
func (c *diffCmd) Run(a *app) error {
	from, ops, err := a.diff(c.File)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(wire.FromChange(inventory.Change{Based: from.Version, Author: author(), Ops: ops}))
	}
	fmt.Printf("%d steps from version %d\n", len(ops), from.Version)
	printOps(os.Stdout, ops)
	return nil
}

func (a *app) diff(file string) (*inventory.Inventory, []inventory.Op, error) {
	to, err := operator.LoadInventory(file)
	if err != nil {
		return nil, nil, err
	}
	from, err := a.client.Inventory(a.ctx)
	if err != nil {
		return nil, nil, err
	}
	return from, inventory.Diff(from, to), nil
}

// waitFlags are the flags of the commands that change the inventory.
type waitFlags struct {
	Wait    bool          `help:"Wait until the change is in force on all VMs."`
	Timeout time.Duration `help:"Maximum time to wait." default:"30s"`
	Insist  bool          `help:"Make the change even if it leaves a service without a target."`
}

type applyCmd struct {
	File string `arg:"" help:"Inventory file."`
	waitFlags
}

// Run replaces the inventory in force with the file's.
func (c *applyCmd) Run(a *app) error {
	from, ops, err := a.diff(c.File)
	if err != nil {
		return err
	}
	if len(ops) == 0 {
		a.printText("nothing to change at version %d\n", from.Version)
		return a.printReply(&schema.ApplyReply{Version: from.Version})
	}
	return a.change(from.Version, ops, c.waitFlags)
}

// change sends a change and, with --wait, waits until it is in force.
func (a *app) change(based uint64, ops []inventory.Op, w waitFlags) error {
	change := inventory.Change{ID: newID(), Based: based, Author: author(), Ops: ops}
	version, err := a.client.Apply(a.ctx, change, w.Insist)
	if err != nil {
		return err
	}
	a.printText("accepted as version %d, %d steps\n", version, len(ops))
	if w.Wait {
		if err := a.wait(version, w.Timeout); err != nil {
			return err
		}
	}
	return a.printReply(&schema.ApplyReply{Version: version, ChangeId: change.ID})
}

// printText prints text for people, unless --json is set.
func (a *app) printText(format string, args ...any) {
	if !a.json {
		fmt.Printf(format, args...)
	}
}

// printReply prints a message for scripts if --json is set.
func (a *app) printReply(m proto.Message) error {
	if !a.json {
		return nil
	}
	return printJSON(m)
}

// wait returns when the version is in force on all VMs of every zone. Meanwhile it
// prints the zones where it is not, whenever these change.
func (a *app) wait(version uint64, timeout time.Duration) error {
	started := time.Now()
	last := ""
	for {
		st, err := a.client.Status(a.ctx)
		if err != nil {
			return err
		}
		behind, unseen := zonesBehind(st, version)
		if len(behind)+len(unseen) == 0 {
			a.printText("version %d is in force on all VMs of %d zones after %v\n", version, len(st.GetZones()), time.Since(started).Round(time.Millisecond))
			return nil
		}
		line := fmt.Sprintf("waiting: behind %v, not seen %v\n", behind, unseen)
		if line != last {
			a.printText("%s", line)
			last = line
		}
		if time.Since(started) > timeout {
			return errWaitTimeout
		}
		select {
		case <-a.ctx.Done():
			return errWaitTimeout
		case <-time.After(pollInterval):
		}
	}
}

// maxSummaryAge is the age of a zone's summary from which on the zone counts as unseen.
const maxSummaryAge = 10 * time.Second

// zonesBehind returns the zones with VMs at a lower version, and the zones without a
// recent summary or without VMs.
func zonesBehind(st *schema.Status, version uint64) (behind, unseen []string) {
	for _, z := range st.GetZones() {
		switch {
		case z.GetVmCount() == 0 || z.GetAge().AsDuration() > maxSummaryAge:
			unseen = append(unseen, z.GetZone())
		case z.GetMinVersion() < version:
			behind = append(behind, z.GetZone())
		}
	}
	return behind, unseen
}

type drainCmd struct {
	Kind string `arg:"" help:"Kind of item: target, zone or region." enum:"target,zone,region"`
	Name string `arg:"" help:"Name of the item."`
	waitFlags
}

// Run drains a target, zone or region.
func (c *drainCmd) Run(a *app) error {
	return a.changeNow(inventory.Op{Drain: &inventory.Drain{Kind: parseKind(c.Kind), Name: c.Name}}, c.waitFlags)
}

type undrainCmd struct {
	Kind string `arg:"" help:"Kind of item: target, zone or region." enum:"target,zone,region"`
	Name string `arg:"" help:"Name of the item."`
	waitFlags
}

// Run removes a drain.
func (c *undrainCmd) Run(a *app) error {
	name := string(parseKind(c.Kind)) + "/" + c.Name
	return a.changeNow(inventory.Op{Remove: &inventory.Remove{Kind: inventory.KindDrain, Name: name}}, c.waitFlags)
}

// changeNow makes a change of one operation to the version in force.
func (a *app) changeNow(op inventory.Op, w waitFlags) error {
	inv, err := a.client.Inventory(a.ctx)
	if err != nil {
		return err
	}
	return a.change(inv.Version, []inventory.Op{op}, w)
}

func parseKind(word string) inventory.Kind {
	switch word {
	case "zone":
		return inventory.KindZone
	case "region":
		return inventory.KindRegion
	default:
		return inventory.KindTarget
	}
}

func printOps(w io.Writer, ops []inventory.Op) {
	for _, op := range ops {
		fmt.Fprintf(w, "  %s\n", op)
	}
}

func printChanges(w io.Writer, changes []*schema.Change) {
	for _, m := range changes {
		change, err := wire.Change(m)
		if err != nil {
			fmt.Fprintf(w, "version %d: %v\n", m.GetBased()+1, err)
			continue
		}
		fmt.Fprintf(w, "version %d by %s at %s:\n", change.Based+1, change.Author, change.At.Format(time.RFC3339))
		printOps(w, change.Ops)
	}
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
