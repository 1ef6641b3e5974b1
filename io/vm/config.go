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

// config holds the inventory in force, whose version never decreases within an era of
// the platform. It is safe for concurrent use.
type config struct {
	register *platform.InventoryStore
	log      *logrus.Entry
	entering sync.Mutex // Held by enterEra.

	mu      sync.Mutex
	era     uint64 // Of the platform's table that inv is from.
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

// Era implements peer.ChangeLog.
func (c *config) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
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

// install applies accepted changes of an era to the inventory in force. It skips those that
// are in force already.
func (c *config) install(now time.Time, changes []inventory.Change, era uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era != c.era {
		return nil
	}
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

// replace puts inv into force if its version is higher than the present one, or it is of a
// later era.
func (c *config) replace(now time.Time, inv *inventory.Inventory, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	if era < c.era || era == c.era && inv.Version <= c.inv.Version {
		return
	}
	c.inv, c.changes, c.at, c.era = inv.Bounded(), nil, now, era
	c.log.WithFields(logrus.Fields{"Version": inv.Version, "Era": era}).Info("InventoryInForce")
}

// poll reads the head from the platform, and the changes or the snapshot that this
// VM lacks.
func (c *config) poll(ctx context.Context) error {
	head, err := c.register.Head(ctx)
	if err != nil {
		return err
	}
	switch era := c.Era(); {
	case head.Era < era:
		return nil // A late answer.
	case head.Era > era:
		return c.enterEra(ctx, head)
	}
	if head.Version <= c.Inventory().Version {
		return c.install(time.Now(), nil, head.Era)
	}
	if head.Snapshot > c.Inventory().Version {
		inv, err := c.register.Snapshot(ctx, head)
		if err != nil {
			return err
		}
		c.replace(time.Now(), inv, head.Era)
	}
	changes, err := c.register.Changes(ctx, head, c.Inventory().Version)
	if err != nil {
		return err
	}
	return c.install(time.Now(), changes, head.Era)
}

// enterEra brings the inventory in line with a platform that was restored from an older copy.
// Changes that had been accepted and are lost are committed again, under their IDs, if the
// platform has none in their place. Otherwise the platform's inventory is put into force.
func (c *config) enterEra(ctx context.Context, head platform.Head) error {
	c.entering.Lock()
	defer c.entering.Unlock()
	if c.Era() >= head.Era {
		return nil
	}
	stored, err := c.register.Load(ctx, head)
	if err != nil {
		return err
	}
	lost, ok := c.changesAfter(head)
	if !ok {
		if old := c.Inventory().Version; old > 0 {
			c.log.WithFields(logrus.Fields{"Version": old, "NewVersion": stored.Version, "Era": head.Era}).Warn("InventoryReplaced")
		}
		c.replace(time.Now(), stored, head.Era)
		return nil
	}
	for _, change := range lost {
		if stored, err = stored.ApplyUnchecked(change); err != nil {
			return err
		}
		// With ErrVersion another change was accepted in its place: the next poll finds it.
		if err := c.register.Accept(ctx, change, stored); err != nil {
			return err
		}
		c.log.WithFields(logrus.Fields{"Version": stored.Version, "Change": change.ID, "Author": change.Author, "Era": head.Era}).Warn("ChangeCommittedAgain")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	// Another VM may have passed on a change meanwhile, which the platform lacks: then the
	// next poll commits it.
	if c.inv.Version == stored.Version {
		c.era = head.Era
	}
	return nil
}

// changesAfter returns the changes in force after the one that a head names. ok is false if
// that one is not in force.
func (c *config) changesAfter(head platform.Head) (changes []inventory.Change, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.inv.Version - uint64(len(c.changes)) // The version before the changes.
	switch {
	case head.Version > c.inv.Version || head.Version < first:
		return nil, false
	case head.Version == first:
		// Versions above 0 of which the change is not known may be others.
		return append([]inventory.Change(nil), c.changes...), first == 0
	}
	known := c.changes[head.Version-first-1]
	return append([]inventory.Change(nil), c.changes[head.Version-first:]...), known.ID == head.ChangeID
}

// pull reads the changes that this VM lacks from another VM.
func (c *config) pull(ctx context.Context, peers *peer.Client, addr string) error {
	got, err := peers.Changes(ctx, addr, peer.Position{Era: c.Era(), Version: c.Inventory().Version})
	switch {
	case err != nil:
		return err
	case got.Snapshot != nil:
		c.replace(time.Now(), got.Snapshot, got.Era)
		return nil
	}
	return c.install(time.Now(), got.Changes, got.Era)
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
	era := c.Era()
	if err := c.register.Accept(ctx, change, next); err != nil {
		if errors.Is(err, inventory.ErrVersion) {
			// Another change was accepted first: read it, to report it to the operator.
			_ = c.poll(ctx)
		}
		return nil, err
	}
	return next, c.install(time.Now(), []inventory.Change{change}, era)
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
