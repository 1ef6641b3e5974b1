package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/inventory"
	"auburnlatch/io/settings"
)

func TestExamplesAreValid(t *testing.T) {
	for _, tc := range []struct {
		file    string
		targets int
		slots   int
	}{
		{"flota/inventory.jsonc", 40, 140},
		{"ghorbari/inventory.jsonc", 44, 194},
	} {
		inv, err := LoadInventory(filepath.Join("../../examples", tc.file))
		if err != nil {
			t.Errorf("%s: %v", tc.file, err)
			continue
		}
		slots := 0
		for _, target := range inv.Targets {
			slots += target.Slots
		}
		if len(inv.Targets) != tc.targets || slots != tc.slots || len(inv.Zones) != 6 {
			t.Errorf("%s: %d targets with %d slots in %d zones", tc.file, len(inv.Targets), slots, len(inv.Zones))
		}
	}
	if _, err := settings.Load("../../examples/vm.jsonc"); err != nil {
		t.Errorf("vm.jsonc: %v", err)
	}
}

func TestInventoryFaults(t *testing.T) {
	for _, tc := range []struct {
		name, text, want string
	}{
		{"unknown field", `{"Zone": []}`, `unknown field "Zone"`},
		{"duplicate name", `{"Regions": [{"Name": "r"}, {"Name": "r"}]}`, `Region "r" is registered twice`},
		{"unknown region", `{"Zones": [{"Name": "z", "Region": "r"}]}`, `Zone z: Region: there is no region "r"`},
		{"invalid block", `{"Places": [{"Name": "p", "Blocks": ["10.0.0.0"]}]}`, `Place p: Blocks: "10.0.0.0" is no CIDR prefix`},
		{"no shift limit", `{"Services": [{"Name": "s"}]}`, `Service s: MaxShiftPerMinute: 0 is not a share between 0 and 1`},
		{"bits after the prefix length", `{"Regions": [{"Name": "r"}], "Zones": [{"Name": "z", "Region": "r"}],
			"Places": [{"Name": "p", "Zone": "z", "Blocks": ["10.0.0.1/8"]}]}`, `use 10.0.0.0/8`},
	} {
		path := filepath.Join(t.TempDir(), "inventory.jsonc")
		if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadInventory(path)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: err = %v, want it to contain %q", tc.name, err, tc.want)
		}
		var faults *inventory.FaultsError
		if strings.Contains(tc.want, ": ") && tc.name == "no shift limit" && !errors.As(err, &faults) {
			t.Errorf("%s: %v is not a *FaultsError", tc.name, err)
		}
	}
}
