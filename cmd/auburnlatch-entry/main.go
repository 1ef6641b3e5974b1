// Command auburnlatch-entry is the daemon of an entry VM on the users' platform.
//
// Usage:
//
//	auburnlatch-entry [--settings entry.jsonc] [--check] [--debug]
//
// Without --settings the file is the one that the platform names. On SIGHUP,
// and when the file has changed, it takes new bounds into use; addresses stay.
// On SIGTERM or SIGINT it leaves gracefully.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/io/entry"
	"auburnlatch/io/hangup"
	"auburnlatch/io/logline"
	"auburnlatch/io/settings"
	"auburnlatch/platform"
)

type flags struct {
	Settings string `help:"Settings file: JSON with comments." type:"path"`
	Check    bool   `help:"Only check the settings."`
	Debug    bool   `help:"Log single exchanges too."`
}

const (
	// gcPercent is how much the heap may grow before garbage is collected, and
	// memoryLimit, in bytes, what it may not exceed for long: the smallest VMs have
	// little over that.
	gcPercent   = 100
	memoryLimit = 128 << 20
	// rereadEvery is how often the settings file is looked at: it may change
	// without a signal.
	rereadEvery = 5 * time.Second
)

// Run runs the daemon, or checks its settings.
func (f *flags) Run() error {
	if f.Settings == "" {
		f.Settings = os.Getenv(platform.SettingsFile)
	}
	if f.Settings == "" {
		return errors.Newf("no settings: pass --settings FILE or set %s", platform.SettingsFile)
	}
	data, err := os.ReadFile(f.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	cfg, err := settings.ParseEntry(f.Settings, data)
	if err != nil {
		return err
	}
	if f.Check {
		fmt.Printf("%s: good\n", f.Settings)
		return nil
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	out := logline.NewWriter(os.Stdout)
	defer out.Close()
	log := logline.New(out, f.Debug).WithField("VM", cfg.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	v := entry.New(cfg, platform.NewStore(cfg.PlatformAddr), platform.Protocol(), log)
	r := &reloader{path: f.Settings, vm: v, log: log, last: data}
	go r.run(ctx)
	return v.Run(ctx, handlers(cfg, v))
}

func handlers(cfg *settings.Entry, v *entry.VM) map[string]http.Handler {
	h := platform.Handlers(cfg, v)
	if cfg.MetricsAddr != "" {
		h[cfg.MetricsAddr] = v.MetricsHandler()
	}
	return h
}

// reloader takes changed settings into use.
type reloader struct {
	path string
	vm   configurer
	log  *logrus.Entry
	last []byte // The file as the VM has it.
}

// configurer takes settings into use.
type configurer interface{ Configure(*settings.Entry) }

// run rereads the file on SIGHUP and now and then.
func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(rereadEvery)
	defer t.Stop()
	for {
		r.reread()
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
		case <-t.C:
		}
	}
}

// reread takes the file into use if it has changed and is good. A bad file
// leaves the settings as they are.
func (r *reloader) reread() {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.WithField("Err", err).Warn("SettingsNotRead")
		return
	}
	if bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	cfg, err := settings.ParseEntry(r.path, data)
	if err != nil {
		r.log.WithField("Err", err).Error("SettingsRefused")
		return
	}
	r.vm.Configure(cfg)
	r.log.Info("SettingsReloaded")
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Name("auburnlatch-entry"), kong.Description("The daemon of an entry VM on the users' platform."))
	ctx.FatalIfErrorf(ctx.Run())
}
