package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/inventory"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

const percent = 100

func table() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) }

func printJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	fmt.Println(string(data))
	return nil
}

type getCmd struct {
	Kind string `arg:"" optional:"" help:"Region, Zone, Service, Target, Place, Link or Drain."`
	Name string `arg:"" optional:"" help:"Name of one item of the kind."`
}

// Run prints the inventory, or the items of a kind.
func (c *getCmd) Run(a *app) error {
	inv, err := a.client.Inventory(a.ctx)
	if err != nil {
		return err
	}
	if c.Kind == "" {
		return printJSON(wire.FromInventory(inv))
	}
	part := &inventory.Inventory{Version: inv.Version}
	for _, op := range inventory.Diff(&inventory.Inventory{}, inv) {
		s := op.Subject()
		if !strings.EqualFold(string(s.Kind), c.Kind) || (c.Name != "" && s.Name != c.Name) {
			continue
		}
		if part, err = part.ApplyUnchecked(inventory.Change{Based: part.Version, Ops: []inventory.Op{op}}); err != nil {
			return err
		}
	}
	if part.Version == inv.Version {
		return errors.Newf("the inventory contains no %s %s", c.Kind, c.Name)
	}
	part.Version = inv.Version
	return printJSON(wire.FromInventory(part))
}

type statusCmd struct{}

// Run prints the status.
func (c *statusCmd) Run(a *app) error {
	st, err := a.client.Status(a.ctx)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(st)
	}
	platform := "never answered"
	if st.GetPlatformAge() != nil {
		platform = "answered " + age(st.GetPlatformAge().AsDuration()) + " ago"
	}
	fmt.Printf("VM %s in %s: ready %t, leaving %t, version %d, platform %s\n",
		st.GetVm(), st.GetZone(), st.GetReady(), st.GetLeaving(), st.GetVersion(), platform)
	w := table()
	fmt.Fprintln(w, "ZONE\tVMS\tVERSION\tAGE\tDRAINED\tSERVICE\tSLOTS\tIN USE\tQUEUED")
	for _, z := range st.GetZones() {
		first := fmt.Sprintf("%s\t%d\t%d\t%s\t%t", z.GetZone(), z.GetVmCount(), z.GetMinVersion(), age(z.GetAge().AsDuration()), z.GetDrained())
		if len(z.GetServices()) == 0 {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\n", first)
		}
		for _, s := range z.GetServices() {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", first, s.GetService(), s.GetSlots(), s.GetInUse(), s.GetQueued())
			first = "\t\t\t\t"
		}
	}
	return w.Flush()
}

func age(d time.Duration) string { return d.Round(time.Millisecond).String() }

type explainCmd struct {
	Client  string `arg:"" help:"IP address of the caller."`
	Service string `arg:"" help:"Name of the service."`
}

// Run prints why a caller gets its VMs and upstreams.
func (c *explainCmd) Run(a *app) error {
	e, err := a.client.Explain(a.ctx, c.Client, c.Service)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(e)
	}
	fmt.Printf("client %s, service %s: place %q, origin zone %s\n", e.GetClient(), e.GetService(), e.GetPlace(), e.GetOrigin())
	fmt.Printf("VMs:         %s\n", strings.Join(e.GetVms(), " "))
	fmt.Printf("weights:     %s\n", weights(e.GetWeights()))
	fmt.Printf("wanted:      %s\n", weights(e.GetWanted()))
	fmt.Printf("dispatchers: %s\n", strings.Join(e.GetDispatchers(), " "))
	for _, r := range e.GetReasons() {
		fmt.Printf("- %s\n", r)
	}
	return printTargets(e.GetTargets())
}

func weights(list []*schema.ZoneShare) string {
	var parts []string
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", s.GetZone(), percent*s.GetShare()))
	}
	return strings.Join(parts, ", ")
}

func printTargets(list []*schema.TargetDump) error {
	w := table()
	fmt.Fprintln(w, "TARGET\tSERVICE\tSLOTS\tOWN\tIN USE\tHEALTH\tDRAINED\tLATENCY")
	for _, t := range list {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%t\t%s\n", t.GetTarget(), t.GetService(), t.GetSlots(), t.GetInForce(),
			t.GetInUse(), t.GetHealth(), t.GetDrained(), age(t.GetLatency().AsDuration()))
	}
	return w.Flush()
}

type dumpCmd struct{}

// Run prints the whole state of the VM, as JSON.
func (c *dumpCmd) Run(a *app) error {
	d, err := a.client.Dump(a.ctx)
	if err != nil {
		return err
	}
	return printJSON(d)
}

type claimCmd struct {
	List    claimListCmd    `cmd:"" help:"List the claims that are not settled."`
	Resolve claimResolveCmd `cmd:"" help:"Settle a claim that the VM holding it cannot settle."`
}

type claimListCmd struct{}

// Run prints the claims that are not settled.
func (c *claimListCmd) Run(a *app) error {
	list, err := a.client.Claims(a.ctx)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(list)
	}
	w := table()
	fmt.Fprintln(w, "SERVICE\tCALLER\tKEY\tVM\tDEADLINE\tATTEMPT")
	for _, cl := range list.GetClaims() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", cl.GetService(), cl.GetCaller(), cl.GetKey(), cl.GetVm(),
			cl.GetDeadline().AsTime().Format(time.RFC3339), cl.GetAttempt())
	}
	return w.Flush()
}

type claimResolveCmd struct {
	Service string `arg:"" help:"The service."`
	Caller  string `arg:"" help:"The caller, as shown by claim list."`
	Key     string `arg:"" help:"The request's Idempotency-Key."`
	Ran     bool   `help:"The operation ran. It will not run again." xor:"outcome" required:""`
	NotRun  bool   `help:"The operation did not run. The caller may retry it." xor:"outcome" required:""`
}

// Run settles a claim.
func (c *claimResolveCmd) Run(a *app) error {
	r := &schema.ResolveClaim{Service: c.Service, Caller: c.Caller, Key: c.Key, Ran: c.Ran}
	if err := a.client.Resolve(a.ctx, r); err != nil {
		return err
	}
	fmt.Println("resolved")
	return nil
}
