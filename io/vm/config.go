package vm

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
	"auburnlatch/io/operator"
	"auburnlatch/io/peer"
	"auburnlatch/io/platform"
)

// maxChanges is how many changes a VM keeps for its peers.
const maxChanges = 1000

// config holds the inventory in force, whose version never decreases. It is safe
// for concurrent use.
type config struct {
	register *platform.InventoryStore
	log      *logrus.Entry

	mu      sync.Mutex
	inv     *inventory.Inventory
	changes []inventory.Change // The latest ones, up to inv's version.
	loaded  bool               // The platform or a peer has answered.
	at      time.Time          // When inv came into force.
}

func newConfig(r *platform.InventoryStore, log *logrus.Entry) *config {
	return &config{register: r, log: log, inv: &inventory.Inventory{}}
}

// Inventory returns the inventory in force.
func (c *config) Inventory() *inventory.Inventory {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inv
}

// Loaded reports whether the platform or a peer has answered.
func (c *config) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// ChangesAfter implements peer.ChangeLog.
func (c *config) ChangesAfter(version uint64) ([]inventory.Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= c.inv.Version {
		return nil, true
	}
	first := c.inv.Version - uint64(len(c.changes))
	if version < first {
		return nil, false
	}
	return append([]inventory.Change(nil), c.changes[version-first:]...), true
}

// install applies accepted changes to the inventory in force. It skips those that
// are in force already.
func (c *config) install(now time.Time, changes []inventory.Change) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	for _, change := range changes {
		if change.Based < c.inv.Version {
			continue
		}
		next, err := c.inv.ApplyUnchecked(change)
		if err != nil {
			return err
		}
		c.inv, c.at = next, now
		c.changes = append(c.changes, change)
		if len(c.changes) > maxChanges {
			c.changes = c.changes[len(c.changes)-maxChanges:]
		}
		c.log.WithFields(logrus.Fields{"Version": next.Version, "Change": change.ID, "Author": change.Author}).Info("InventoryInForce")
	}
	return nil
}

// replace puts inv into force if its version is higher than the present one.
func (c *config) replace(now time.Time, inv *inventory.Inventory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	if inv.Version <= c.inv.Version {
		return
	}
	c.inv, c.changes, c.at = inv, nil, now
	c.log.WithField("Version", inv.Version).Info("InventoryInForce")
}

// poll reads the head from the platform, and the changes or the snapshot that this
// VM lacks.
func (c *config) poll(ctx context.Context) error {
	head, err := c.register.Head(ctx)
	if err != nil {
		return err
	}
	if head.Version <= c.Inventory().Version {
		return c.install(time.Now(), nil)
	}
	if head.Snapshot > c.Inventory().Version {
		inv, err := c.register.Snapshot(ctx, head)
		if err != nil {
			return err
		}
		c.replace(time.Now(), inv)
	}
	changes, err := c.register.Changes(ctx, c.Inventory().Version)
	if err != nil {
		return err
	}
	return c.install(time.Now(), changes)
}

// pull reads the changes that this VM lacks from another VM.
func (c *config) pull(ctx context.Context, peers *peer.Client, addr string) error {
	got, err := peers.Changes(ctx, addr, c.Inventory().Version)
	if err != nil {
		return err
	}
	if got.Snapshot != nil {
		c.replace(time.Now(), got.Snapshot)
		return nil
	}
	return c.install(time.Now(), got.Changes)
}

// accept makes a change the newest version. It returns an UnservedError if the
// change leaves a service without a target, unless insist is set.
func (c *config) accept(ctx context.Context, change inventory.Change, insist bool) (*inventory.Inventory, error) {
	if err := c.poll(ctx); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonPlatform, time.Second)
	}
	inv := c.Inventory()
	next, err := inv.Apply(change)
	if err != nil {
		return nil, err
	}
	if names := newlyUnserved(inv, next); len(names) > 0 && !insist {
		return nil, &operator.UnservedError{Services: names}
	}
	if err := c.register.Accept(ctx, change, next); err != nil {
		if errors.Is(err, inventory.ErrVersion) {
			// Another change was accepted first: read it, to report it to the operator.
			_ = c.poll(ctx)
		}
		return nil, err
	}
	return next, c.install(time.Now(), []inventory.Change{change})
}

// newlyUnserved returns the services that have no target in after but had one in
// before.
func newlyUnserved(before, after *inventory.Inventory) []string {
	unserved := make(map[string]bool)
	for _, name := range before.Unserved() {
		unserved[name] = true
	}
	var names []string
	for _, name := range after.Unserved() {
		if !unserved[name] {
			names = append(names, name)
		}
	}
	return names
}
