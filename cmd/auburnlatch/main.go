// Command auburnlatch is the operators' client.
//
// Usage:
//
//	auburnlatch check FILE                     check an inventory file
//	auburnlatch --vm IP:port diff FILE         show what applying FILE would change
//	auburnlatch --vm IP:port apply FILE [--wait]
//	auburnlatch --vm IP:port get [KIND [NAME]]
//	auburnlatch --vm IP:port drain|undrain target|zone|region NAME [--wait]
//	auburnlatch --vm IP:port status
//	auburnlatch --vm IP:port explain CLIENT SERVICE
//	auburnlatch --vm IP:port dump
//	auburnlatch --vm IP:port claim list
//	auburnlatch --vm IP:port claim resolve SERVICE CALLER KEY --ran|--not-run
//	auburnlatch trace ID [LOG...]              show a request's lines in saved logs
//	auburnlatch logs summary [LOG...]          count the problems in saved logs
//	auburnlatch logs causes [LOG...]           count late and failed requests by cause
//
// Exit codes: 0 success; 1 the call failed; 2 the command line is invalid; 3 another
// operator changed the inventory meanwhile; 4 the inventory or the change is invalid
// or was refused; 5 the change was not in force on all VMs within --timeout.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"auburnlatch/core/inventory"
	"auburnlatch/io/operator"
	"auburnlatch/io/settings"
)

// Exit codes.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitWaitTimeout = 5
)

// offlineCommands are the commands that call no VM, by the first word of their names.
var offlineCommands = []string{"check", "trace", "logs"}

type cli struct {
	VM       string `help:"Operators' address of any VM, as IP:port." env:"AUBURNLATCH_VM"`
	JSON     bool   `help:"Print JSON, for scripts." name:"json"`
	CertFile string `help:"Client certificate file, if the VM requires one."`
	KeyFile  string `help:"Key file of the client certificate."`
	CAFile   string `help:"Certificate file of the authority that signs the VM's certificate." name:"ca-file"`

	Check   checkCmd   `cmd:"" help:"Check an inventory file."`
	Diff    diffCmd    `cmd:"" help:"Show what applying a file would change."`
	Apply   applyCmd   `cmd:"" help:"Replace the inventory with that of a file."`
	Get     getCmd     `cmd:"" help:"Show the inventory in force, or a part of it."`
	Drain   drainCmd   `cmd:"" help:"Take a target, zone or region out of use."`
	Undrain undrainCmd `cmd:"" help:"Put a drained target, zone or region back into use."`
	Status  statusCmd  `cmd:"" help:"Show zones, versions in force and load."`
	Explain explainCmd `cmd:"" help:"Show why a caller gets its VMs and upstreams."`
	Dump    dumpCmd    `cmd:"" help:"Show the whole state of the VM."`
	Claim   claimCmd   `cmd:"" help:"Claims that are not settled: list or settle them."`
	Trace   traceCmd   `cmd:"" help:"Show the lines about one request in saved logs."`
	Logs    logsCmd    `cmd:"" help:"Analyze saved logs."`
}

// app holds what the commands share.
type app struct {
	ctx    context.Context
	client *operator.Client
	json   bool
}

// usageError reports an invalid command line.
type usageError struct{ problem string }

// Error implements error.
func (e *usageError) Error() string { return e.problem }

// errWaitTimeout is returned if a change is not in force on all VMs in time.
var errWaitTimeout = errors.New("the change is not in force on all VMs yet")

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("auburnlatch"), kong.Description("The operators' client of auburnlatch."))
	kctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "auburnlatch: %v\n", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, kctx, &c); err != nil {
		printError(err)
		stop()
		os.Exit(exitCode(err))
	}
}

func run(ctx context.Context, kctx *kong.Context, c *cli) error {
	var t *settings.TLS
	if c.CertFile != "" {
		t = &settings.TLS{CertFile: c.CertFile, KeyFile: c.KeyFile, ClientCAFile: c.CAFile}
	}
	command, _, _ := strings.Cut(kctx.Command(), " ")
	if c.VM == "" && !slices.Contains(offlineCommands, command) {
		return &usageError{"no VM given; name one with --vm or AUBURNLATCH_VM"}
	}
	client, err := operator.NewClient(c.VM, t)
	if err != nil {
		return err
	}
	return kctx.Run(&app{ctx: ctx, client: client, json: c.JSON})
}

// exitCode returns the documented exit code of an error.
func exitCode(err error) int {
	var usage *usageError
	var faults *inventory.FaultsError
	var call *operator.CallError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &faults):
		return exitInvalid
	case errors.Is(err, errWaitTimeout):
		return exitWaitTimeout
	case !errors.As(err, &call):
		return exitFailed
	case call.Reply.GetConflict() != nil:
		return exitConflict
	case len(call.Reply.GetFaults()) > 0:
		return exitInvalid
	default:
		return exitFailed
	}
}

// printError prints an error with the faults or conflicting changes in it.
func printError(err error) {
	fmt.Fprintf(os.Stderr, "auburnlatch: %v\n", err)
	var call *operator.CallError
	if !errors.As(err, &call) {
		return
	}
	for _, f := range call.Reply.GetFaults() {
		fmt.Fprintf(os.Stderr, "  %s\n", f)
	}
	if conflict := call.Reply.GetConflict(); conflict != nil {
		fmt.Fprintf(os.Stderr, "The inventory is at version %d now. Since then:\n", conflict.GetVersion())
		printChanges(os.Stderr, conflict.GetSince())
	}
}
