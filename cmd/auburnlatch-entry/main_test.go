package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"

	"auburnlatch/io/settings"
)

// configureCount counts calls of Configure.
type configureCount int

// Configure implements configurer.
func (c *configureCount) Configure(*settings.Entry) { *c++ }

const validSettings = `{"Name":"a","Zone":"z","Region":"r","Regions":{"z":"r"},"FrontAddr":"127.0.0.1:1","ReadyAddr":"127.0.0.1:2",
"DirectoryAddr":"127.0.0.1:3","PeerAddr":"127.0.0.1:4","Platform":{"Addr":"127.0.0.1:5"},
"Bounds":{"StopGrace":"3s","RetryRatio":0.2,"RetryWindow":"10s","RetryExtra":5,"Heartbeat":"500ms","LeaveWithin":"2.5s"}}`

// Guards against settings that change while the VM starts and are never applied.
func TestReload(t *testing.T) {
	for _, tt := range []struct {
		name, file string
		want       configureCount
	}{
		{"unchanged since the start", validSettings, 0},
		{"changed while the VM started", validSettings + "\n", 1},
		{"invalid", "{", 0},
		{"deleted", "", 0},
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
			var got configureCount
			r := &reloader{path: path, vm: &got, log: logrus.NewEntry(log), last: []byte(validSettings)}
			r.reload()
			r.reload()
			if got != tt.want {
				t.Errorf("settings applied %d times, want %d", got, tt.want)
			}
		})
	}
}
