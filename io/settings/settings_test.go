package settings

import (
	"strings"
	"testing"
	"time"
)

const validSettings = `{
	// The VM itself.
	"Name": "vm-a", "Zone": "ro-nord-1",
	"CallerAddr": "127.0.0.1:1", "ForwardAddr": "127.0.0.1:2",
	"PeerAddr": "127.0.0.1:3", "OperatorAddr": "127.0.0.1:4",
	"Platform": {"Url": "http://127.0.0.1:5"},
	"Timing": {
		"Heartbeat": "0.25s",
	},
}`

func TestParse(t *testing.T) {
	s, err := Parse("vm.jsonc", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "vm-a" || s.Timing.Heartbeat != 250*time.Millisecond || s.Timing.FailAfter != defaultFailAfter {
		t.Errorf("Parse = %+v", s)
	}
}

func TestParseFaults(t *testing.T) {
	for _, tc := range []struct {
		name, old, new, want string
	}{
		{"unknown field", `"Name"`, `"Nam"`, `(line 3:2): unknown field "Nam"`},
		{"bad address", `"127.0.0.1:3"`, `"host:3"`, `vm.jsonc:5: PeerAddr: "host:3" is not an IP:port, such as 10.0.0.1:7000`},
		{"missing field", `"Zone": "ro-nord-1",`, ``, `vm.jsonc:1: Zone: is missing`},
		{"contradicting fields", `"0.25s"`, `"2s"`, `vm.jsonc:7: Timing.FailAfter: 5s is below three heartbeats of 2s; use at least 6s`},
		{"wrong type", `"0.25s"`, `7`, `(line 8:16)`},
		{"invalid JSON", `{`, `[`, `vm.jsonc`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("vm.jsonc", []byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("err = %v, want it to contain %q", err, tc.want)
			}
		})
	}
}
