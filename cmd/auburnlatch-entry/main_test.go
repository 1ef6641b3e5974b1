package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"

	"auburnlatch/io/settings"
)

// configured counts the settings that were taken into use.
type configured int

// Configure implements configurer.
func (c *configured) Configure(*settings.Entry) { *c++ }

const good = `{"Name":"a","Zone":"z","Region":"r","Regions":{"z":"r"},"FrontAddr":"127.0.0.1:1","ReadyAddr":"127.0.0.1:2",
"DirectoryAddr":"127.0.0.1:3","PeerAddr":"127.0.0.1:4","Platform":{"Addr":"127.0.0.1:5"},
"Bounds":{"StopGrace":"3s","RetryRatio":0.2,"RetryWindow":"10s","RetryExtra":5,"Heartbeat":"500ms","LeaveWithin":"2.5s"}}`

// Guards against settings that change while the VM starts and are never taken into use.
func TestReread(t *testing.T) {
	for _, tt := range []struct {
		name, file string
		want       configured
	}{
		{"unchanged since the start", good, 0},
		{"changed while the VM started", good + "\n", 1},
		{"changed to what is no settings", "{", 0},
		{"gone", "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.jsonc")
			if tt.file != "" {
				if err := os.WriteFile(path, []byte(tt.file), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			var got configured
			r := &reloader{path: path, vm: &got, log: logrus.NewEntry(log), last: []byte(good)}
			r.reread()
			r.reread()
			if got != tt.want {
				t.Errorf("settings taken into use %d times, want %d", got, tt.want)
			}
		})
	}
}
