package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/inventory"
	"auburnlatch/io/platform"
	"auburnlatch/io/wire"
	standin "auburnlatch/standin/platform"
)

// stored returns the inventory store of a stand-in for the platform with one accepted change.
func stored(t *testing.T) (*platform.Client, *platform.InventoryStore, *inventory.Inventory) {
	t.Helper()
	srv := httptest.NewServer(standin.New())
	t.Cleanup(srv.Close)
	client := platform.New(srv.URL)
	store := platform.NewInventoryStore(client)
	return client, store, accept(t, store, &inventory.Inventory{}, "c1", inventory.Op{Region: &inventory.Region{Name: "r"}})
}

func accept(t *testing.T, store *platform.InventoryStore, inv *inventory.Inventory, id string, ops ...inventory.Op) *inventory.Inventory {
	t.Helper()
	change := inventory.Change{ID: id, Based: inv.Version, Ops: ops}
	next, err := inv.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Accept(t.Context(), change, next); err != nil {
		t.Fatal(err)
	}
	return next
}

func put(t *testing.T, c *platform.Client, key string, value []byte) {
	t.Helper()
	res, err := c.Commit(t.Context(), []platform.Write{{Key: key, Value: value}})
	if err != nil || len(res.Conflicts) > 0 {
		t.Fatalf("commit: %v, %+v", err, res)
	}
}

// Guards against rows of another writer beside the changes, after which no VM follows the inventory
// any more, or puts into force what was never accepted.
func TestOddRowsBesideChanges(t *testing.T) {
	client, store, inv := stored(t)
	stray, err := proto.Marshal(wire.FromChange(inventory.Change{ID: "stray", Based: 1, Ops: []inventory.Op{{Region: &inventory.Region{Name: "stray"}}}}))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1200 { // More than a page.
		put(t, client, fmt.Sprintf("config/change/%06d", i), []byte("\xff"))
	}
	put(t, client, "config/change/", nil)
	put(t, client, "config/change/00000000000000000001x", stray)
	put(t, client, "config/change/99999999999999999999", stray)
	put(t, client, "config/change/odd", stray)
	put(t, client, "config/change/00000000000000000002", stray) // The head does not name it.
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	head, err := store.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := store.Load(ctx, head); err != nil || got.Version != inv.Version || got.Region("stray") != nil {
		t.Errorf("Load: %+v, %v", got, err)
	}
	if got, err := store.Changes(ctx, head, 0); err != nil || len(got) != 1 || got[0].ID != "c1" {
		t.Errorf("Changes: %+v, %v", got, err)
	}
	if got, err := store.Changes(ctx, head, 1); err != nil || len(got) != 0 {
		t.Errorf("Changes after the newest: %+v, %v", got, err)
	}
}

// Guards against a change that reads as another version, as the changes after it are then read
// again and again.
func TestChangeOfAnotherVersion(t *testing.T) {
	client, store, _ := stored(t)
	row, err := client.Get(t.Context(), "config/change/00000000000000000001")
	if err != nil {
		t.Fatal(err)
	}
	odd, err := proto.Marshal(wire.FromChange(inventory.Change{ID: "odd", Based: 7}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(t.Context(), []platform.Write{{Key: row.Key, If: row.Version, Value: odd}}); err != nil {
		t.Fatal(err)
	}
	head, err := store.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := store.Changes(t.Context(), head, 0); err == nil || errors.Is(err, inventory.ErrVersion) {
		t.Errorf("Changes: %+v, %v", got, err)
	}
}
