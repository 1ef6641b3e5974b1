// Command auburnlatchd is the daemon that runs on every VM.
//
// Usage:
//
//	auburnlatchd --settings vm.jsonc [--check]
//
// On SIGTERM or SIGINT it leaves gracefully: it cuts off no request in flight. On SIGHUP it
// checks its settings file and logs what it finds; settings are in force from a start on.
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
	Check    bool   `help:"Only check the settings."`
	Debug    bool   `help:"Log single exchanges too."`
}

// The garbage collector runs seldom while the heap is small, and as often as it
// must when the memory nears what a VM may use.
const (
	gcPercent   = 400
	memoryLimit = 192 << 20
)

// Run runs the VM, or checks its settings.
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
	go (&checker{path: f.Settings, log: log.WithField("VM", cfg.Name)}).run(ctx)
	return v.Run(ctx)
}

// checker checks the settings file for operators.
type checker struct {
	path string
	log  *logrus.Entry
}

// run checks the file on each SIGHUP.
func (c *checker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
			c.check()
		}
	}
}

func (c *checker) check() {
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
