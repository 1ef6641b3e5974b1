package operator

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"auburnlatch/core/inventory"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// LoadInventory reads and checks an inventory file, JSON with comments. The error
// is an *inventory.FaultsError if the file was decoded but its inventory is
// inconsistent.
func LoadInventory(path string) (*inventory.Inventory, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "inventory")
	}
	plainJSON, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	m := &schema.Inventory{}
	if err := protojson.Unmarshal(plainJSON, m); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	inv, err := wire.Inventory(m)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	if faults := inv.Check(); len(faults) > 0 {
		return nil, &inventory.FaultsError{Faults: faults}
	}
	return inv, nil
}
