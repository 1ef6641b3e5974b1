// Command auburnlatchd is the daemon that runs on every VM.
//
// Usage:
//
//	auburnlatchd --settings vm.jsonc [--check]
//
// On SIGTERM or SIGINT it shuts down gracefully: it completes the requests in flight. On
// SIGHUP it checks its settings file and logs the result; changed settings take effect at the
// next start.
package main

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"auburnlatch/io/hangup"
	"auburnlatch/io/settings"
	"auburnlatch/io/vm"
)

type flags struct {
	Settings string `help:"Settings file: JSON with comments." required:"" type:"path"`
	Check    bool   `help:"Only check the settings, then exit."`
	Debug    bool   `help:"Also log each failed exchange with a peer or the platform."`
}

// The garbage collector runs rarely while the heap is small, and as often as needed
// when memory use approaches what a VM may use.
const (
	gcPercent   = 400       // As GOGC.
	memoryLimit = 192 << 20 // As GOMEMLIMIT, in bytes.
)

// Run runs the VM, or only checks its settings.
func (f *flags) Run() error {
	cfg, err := settings.Load(f.Settings)
	if err != nil {
		return err
	}
	if f.Check {
		fmt.Printf("%s: good\n", f.Settings)
		return nil
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if f.Debug {
		log.SetLevel(logrus.DebugLevel)
	}
	v, err := vm.New(cfg, log.WithField("VM", cfg.Name))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go (&settingsChecker{path: f.Settings, log: log.WithField("VM", cfg.Name)}).run(ctx)
	return v.Run(ctx)
}

// settingsChecker checks the settings file on request and logs the result for operators.
type settingsChecker struct {
	path string
	log  *logrus.Entry
}

// run checks the file on each SIGHUP.
func (c *settingsChecker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
			c.check()
		}
	}
}

func (c *settingsChecker) check() {
	if _, err := settings.Load(c.path); err != nil {
		c.log.WithField("Err", err).Error("SettingsRefused")
		return
	}
	c.log.Info("SettingsGoodForNextStart")
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Name("auburnlatchd"), kong.Description("The daemon of auburnlatch, global traffic steering."))
	ctx.FatalIfErrorf(ctx.Run())
}
