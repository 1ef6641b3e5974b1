// Command soak runs the real entry daemon under random faults and checks the
// promises from what callers and upstreams see.
//
// Usage:
//
//	soak run --daemon bin/auburnlatch-entry [--seed N] [--seeds 5] [--for 20s]
//
// VMs, a stand-in of the platform's store and stand-in upstreams are separate
// processes on loopback. Faults come from outside: signals that kill, stop,
// continue, terminate and reload; proxies that delay, reset, silence and cut one
// way what goes to the store and to upstreams. They come in series and overlap.
// A seed gives the same schedule of faults each time. Exit code 1: a promise
// was broken; the seed is printed. It ends only processes that it has started.
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
	Seed      uint64        `help:"The first seed; 0: one of this moment."`
	Seeds     int           `help:"How many seeds to run." default:"1"`
	For       time.Duration `help:"How long faults are injected." default:"15s"`
	VMs       int           `help:"VMs." default:"6" name:"vms"`
	Upstreams int           `help:"Upstreams." default:"8"`
	Taking    bool          `help:"The ways to upstreams take connections also when the upstream has ended, and reset them."`
	Notices   bool          `help:"Upstreams say of themselves what they take."`
	Plots     string        `help:"Where to draw a timeline of each seed." type:"path"`
	Logs      string        `help:"Where to keep the VMs' logs of seeds that fail." type:"path"`
}

// Run runs the seeds one after the other.
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
		return fmt.Errorf("%d of %d seeds broke a promise", failed, c.Seeds)
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
	return http.ListenAndServe(c.Addr, s)
}

type upstreamCmd struct {
	ID, Service, Zone, Addr, Listen, Store string
	CutShare, FailShare                    float64
}

// Run serves until SIGTERM, then drains.
func (c *upstreamCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	for life := 0; ; life++ {
		err := standin.NewUpstream(standin.UpstreamConfig{
			ID: fmt.Sprint(c.ID, "-", life), Service: c.Service, Zone: c.Zone, Addr: c.Addr, Listen: c.Listen, Store: c.Store,
			CutShare: c.CutShare, FailShare: c.FailShare, Report: os.Stdout,
		}).Run(ctx)
		if !errors.Is(err, standin.ErrEnded) {
			return err
		}
		<-time.After(backAfter)
	}
}

// backAfter is how long an upstream is away that ended under a request.
const backAfter = time.Second

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("soak"), kong.Description("Random faults on the real daemon."))
	ctx.FatalIfErrorf(ctx.Run())
}
