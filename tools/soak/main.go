// Command soak runs the real entry daemon under random faults and checks its
// guarantees by what callers and upstreams observe.
//
// Usage:
//
//	soak run --daemon bin/auburnlatch-entry [--seed N] [--seeds 5] [--for 20s]
//
// The VMs, a stand-in for the platform's store and stand-in upstreams are separate
// processes on loopback. Faults are injected from outside the daemon: signals that
// kill, suspend, resume, terminate and reload processes, and proxies in front of
// the store and the upstreams that delay or drop data, drop it in one direction,
// or reset connections. Faults follow each other at random and may overlap. A seed
// determines the schedule of faults. Exit code 1 means that a guarantee was broken;
// the seed is printed. The command kills only processes that it has started.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"auburnlatch/platform/standin"
)

type cli struct {
	Run      runCmd      `cmd:"" help:"Run seeds."`
	Store    storeCmd    `cmd:"" hidden:""`
	Upstream upstreamCmd `cmd:"" hidden:""`
}

type runCmd struct {
	Daemon    string        `help:"The daemon to run." required:"" type:"existingfile"`
	Seed      uint64        `help:"The first seed; 0 selects one by the current time."`
	Seeds     int           `help:"Seeds to run." default:"1"`
	For       time.Duration `help:"How long faults are injected." default:"15s"`
	VMs       int           `help:"VMs to run." default:"6" name:"vms"`
	Upstreams int           `help:"Upstreams to run." default:"8"`
	Taking    bool          `help:"The proxies to upstreams accept connections also when the upstream is down, and reset them."`
	Notices   bool          `help:"Upstreams announce limits, pauses and that they leave."`
	Restores  bool          `help:"The store is restored from older copies of its data, while some VMs are cut off from it or start."`
	Cuts      bool          `help:"VMs are cut off from all upstreams, one, those of a zone or most, also when all other faults are over."`
	Kills     bool          `help:"Most responses of upstreams are lost, and most VMs are killed at once and in series meanwhile."`
	Returns   bool          `help:"Refused callers get appointments, and come back when they are told."`
	Weights   bool          `help:"A route is split between two services, and each version of the rules changes its weights."`
	Colds     bool          `help:"Upstreams turn cold, and zones of them come back cold under their IDs, while VMs do not see the store or start."`
	Shapes    bool          `help:"Callers with small windows send requests of all kinds behind one another, with bodies and responses of drawn sizes; only planned work happens."`
	Plots     string        `help:"Directory for a timeline of each seed." type:"path"`
	Logs      string        `help:"Directory for the VMs' logs of seeds that fail." type:"path"`
}

// Run runs the seeds in sequence.
func (c *runCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	failed := 0
	for i := range c.Seeds {
		r, err := runSeed(ctx, c, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		r.print(os.Stdout)
		if c.Plots != "" {
			if err := r.draw(c.Plots); err != nil {
				return err
			}
		}
		if len(r.broken) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a guarantee", failed, c.Seeds)
	}
	return nil
}

type storeCmd struct {
	Addr string `required:""`
}

// Run serves the store until the process ends.
func (c *storeCmd) Run() error {
	s := standin.NewStore()
	go s.Lapse(context.Background())
	control := &storeControl{store: s}
	go control.loop()
	return http.ListenAndServe(c.Addr, control)
}

type upstreamCmd struct {
	ID, Service, Zone, Addr, Listen, Store string
	CutShare, FailShare                    float64
	Cold                                   time.Duration
	SameID                                 bool `name:"same-id"`
}

// Run serves until SIGTERM, then drains. After a crash it starts the next incarnation.
func (c *upstreamCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var born int64
	if c.SameID {
		born = time.Now().UnixMilli()
	}
	for incarnation := 0; ; incarnation++ {
		err := standin.NewUpstream(standin.UpstreamConfig{
			ID: fmt.Sprint(c.ID, "-", incarnation), Service: c.Service, Zone: c.Zone, Addr: c.Addr, Listen: c.Listen, Store: c.Store,
			CutShare: c.CutShare, FailShare: c.FailShare, ColdFor: c.Cold, Born: born, Report: os.Stdout,
		}).Run(ctx)
		if !errors.Is(err, standin.ErrCrashed) {
			return err
		}
		<-time.After(restartDelay)
	}
}

// restartDelay is the time between an upstream's crash and its restart.
const restartDelay = time.Second

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("soak"), kong.Description("Random faults on the real daemon."))
	ctx.FatalIfErrorf(ctx.Run())
}
