// Command auburnlatch-entry is the daemon that runs on every entry VM of the users' platform.
//
// Usage:
//
//	auburnlatch-entry [--settings entry.jsonc] [--check] [--debug]
//
// Without --settings it reads the file named by the platform's environment variable. On
// SIGHUP, and when the file has changed, it applies the new bounds; addresses do not change.
// On SIGTERM or SIGINT it shuts down gracefully.
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
	Check    bool   `help:"Only check the settings, then exit."`
	Debug    bool   `help:"Also log each failed exchange with a peer or the platform."`
}

const (
	// gcPercent is how much the heap may grow before garbage is collected, as GOGC.
	// memoryLimit is the soft memory limit in bytes, as GOMEMLIMIT: the smallest VMs
	// have little more memory than that.
	gcPercent   = 100
	memoryLimit = 128 << 20
	// pollInterval is how often the settings file is read, as it may change without a
	// signal.
	pollInterval = 5 * time.Second
)

// Run runs the daemon, or only checks its settings.
func (f *flags) Run() error {
	if f.Settings == "" {
		f.Settings = os.Getenv(platform.SettingsFileEnv)
	}
	if f.Settings == "" {
		return errors.Newf("no settings file given: pass --settings FILE or set %s", platform.SettingsFileEnv)
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

// reloader applies the settings file when it changes.
type reloader struct {
	path string
	vm   configurer
	log  *logrus.Entry
	last []byte // The contents when it was last read.
}

// configurer applies settings.
type configurer interface{ Configure(*settings.Entry) }

// run reads the file on SIGHUP and every pollInterval.
func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		r.reload()
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals():
		case <-t.C:
		}
	}
}

// reload applies the settings file if it has changed and is valid. If it is invalid, the
// settings remain as they are.
func (r *reloader) reload() {
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
