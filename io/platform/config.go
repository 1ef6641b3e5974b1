package platform

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/inventory"
	"auburnlatch/core/verdict"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	// snapshotInterval is the number of changes between two snapshots.
	snapshotInterval = 100
	// commitRetryInterval is the wait before a commit without a response is retried.
	commitRetryInterval = 50 * time.Millisecond
	changePageSize      = 500
)

// InventoryStore stores the inventory on the platform: a head row that names the
// newest version, a row for each change, and snapshots in the object store.
type InventoryStore struct {
	client *Client
}

// NewInventoryStore returns the inventory store of a platform.
func NewInventoryStore(c *Client) *InventoryStore { return &InventoryStore{client: c} }

// Head names the newest version and the newest snapshot.
type Head struct {
	Version uint64
	// ChangeID is the ID of the change that made the version.
	ChangeID string
	// Era is the era of the table; see CommitResult.
	Era uint64
	// Snapshot is the newest version that has a snapshot; object is its name.
	Snapshot uint64
	object   string
	row      uint64 // The row's version in the table.
}

// Head reads the head row. It costs one read.
func (s *InventoryStore) Head(ctx context.Context) (Head, error) {
	row, err := s.client.Get(ctx, headKey)
	if err != nil {
		return Head{}, err
	}
	m := &schema.ConfigHead{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return Head{}, errors.Wrap(err, "config head")
	}
	return Head{Version: m.GetVersion(), ChangeID: m.GetChangeId(), Era: row.Era, Snapshot: m.GetSnapshot(), object: m.GetSnapshotObject(), row: row.Version}, nil
}

// ErrRestored is returned if the platform was restored since the head was read.
var ErrRestored = errors.New("the platform was restored from an older copy")

// Changes reads the changes after a version up to that of the head, oldest first, in the era of
// the head. It skips rows whose key is not that of a version, which are another writer's.
func (s *InventoryStore) Changes(ctx context.Context, head Head, after uint64) ([]inventory.Change, error) {
	var changes []inventory.Change
	from := changeKey(after)
	for {
		rows, err := s.client.Scan(ctx, changePrefix, from, changePageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if row.Era != head.Era {
				return nil, ErrRestored
			}
			from = row.Key
			version, ok := changeVersion(row.Key)
			if !ok {
				continue
			}
			if version > head.Version {
				return changes, nil // Committed after the head was read, or never.
			}
			c, err := decodeChange(row.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "version %d", version)
			}
			if c.Based != version-1 {
				return nil, errors.Newf("the change stored as version %d is based on version %d", version, c.Based)
			}
			changes = append(changes, c)
		}
		if len(rows) < changePageSize {
			return changes, nil
		}
	}
}

// Snapshot reads the snapshot named by the head. Version 0 is the empty
// inventory.
func (s *InventoryStore) Snapshot(ctx context.Context, head Head) (*inventory.Inventory, error) {
	if head.Snapshot == 0 {
		return &inventory.Inventory{}, nil
	}
	data, err := s.client.GetObject(ctx, head.object)
	if err != nil {
		return nil, err
	}
	m := &schema.Inventory{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return wire.Inventory(m)
}

// Load reads the whole inventory that the head names.
func (s *InventoryStore) Load(ctx context.Context, head Head) (*inventory.Inventory, error) {
	inv, err := s.Snapshot(ctx, head)
	if err != nil {
		return nil, err
	}
	changes, err := s.Changes(ctx, head, inv.Version)
	if err != nil {
		return nil, err
	}
	for _, change := range changes {
		if inv, err = inv.ApplyUnchecked(change); err != nil {
			return nil, err
		}
	}
	return inv, nil
}

// Accept commits change, and makes next, its result, the newest version. It
// returns inventory.ErrVersion if another change was committed first.
//
// The platform's response can be lost after the transaction was applied, or while
// it is still in flight. So the same transaction is sent again until there is a
// response. It is conditional on the head that it is based on, so it is applied at
// most once, and never after the head has changed. The change ID stored for the
// version then shows which change was committed. If ctx is done first, the
// verdict is MaybeRan, or NotRun if the transaction was never sent.
func (s *InventoryStore) Accept(ctx context.Context, change inventory.Change, next *inventory.Inventory) error {
	head, err := s.Head(ctx)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonPlatform, time.Second)
	}
	if head.Version != change.Based {
		return errors.Wrapf(inventory.ErrVersion, "based on %d, newest is %d", change.Based, head.Version)
	}
	writes, err := s.newTransaction(ctx, head, change, next)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonPlatform, time.Second)
	}
	sent := false
	for {
		res, err := s.client.Commit(ctx, writes)
		switch {
		case err == nil && len(res.Conflicts) == 0 && res.Era != head.Era:
			return verdict.Wrap(ErrRestored, verdict.MaybeRan, verdict.ReasonPlatform, time.Second)
		case err == nil && len(res.Conflicts) == 0:
			return nil
		case err == nil:
			return s.resolveConflict(ctx, change)
		}
		var pe *Error
		sent = sent || !errors.As(err, &pe) || pe.Sent
		select {
		case <-ctx.Done():
			if sent {
				return verdict.Wrap(err, verdict.MaybeRan, verdict.ReasonPlatform, time.Second)
			}
			return verdict.Wrap(err, verdict.NotRun, verdict.ReasonPlatform, time.Second)
		case <-time.After(commitRetryInterval):
		}
	}
}

func (s *InventoryStore) newTransaction(ctx context.Context, head Head, change inventory.Change, next *inventory.Inventory) ([]Write, error) {
	snapshot, object := head.Snapshot, head.object
	if next.Version-snapshot >= snapshotInterval {
		data, err := proto.Marshal(wire.FromInventory(next))
		if err != nil {
			return nil, errors.Wrap(err, "snapshot")
		}
		// The snapshot is stored before the head names it. Its name contains the
		// change ID, as another change for the same version has other content.
		snapshot, object = next.Version, fmt.Sprintf("inventory-%d-%s", next.Version, change.ID)
		if err := s.client.PutObject(ctx, object, data); err != nil {
			return nil, err
		}
	}
	row, err := proto.Marshal(wire.FromChange(change))
	if err != nil {
		return nil, errors.Wrap(err, "change")
	}
	newHead, err := proto.Marshal(&schema.ConfigHead{Version: next.Version, ChangeId: change.ID, Snapshot: snapshot, SnapshotObject: object})
	if err != nil {
		return nil, errors.Wrap(err, "config head")
	}
	return []Write{
		{Key: headKey, If: head.row, Value: newHead},
		{Key: changeKey(next.Version), Value: row},
	}, nil
}

// resolveConflict checks which change was committed as the version that change
// was meant for. It returns nil if it was change itself.
func (s *InventoryStore) resolveConflict(ctx context.Context, change inventory.Change) error {
	row, err := s.client.Get(ctx, changeKey(change.Based+1))
	if err != nil {
		return verdict.Wrap(err, verdict.MaybeRan, verdict.ReasonPlatform, time.Second)
	}
	if row.Version != 0 {
		found, err := decodeChange(row.Value)
		if err != nil {
			return err
		}
		if found.ID == change.ID {
			return nil
		}
	}
	return errors.Wrapf(inventory.ErrVersion, "another change was committed as version %d", change.Based+1)
}

func decodeChange(value []byte) (inventory.Change, error) {
	m := &schema.Change{}
	if err := proto.Unmarshal(value, m); err != nil {
		return inventory.Change{}, errors.Wrap(err, "change")
	}
	return wire.Change(m)
}

func changeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

// changeVersion returns the version whose changeKey is key.
func changeVersion(key string) (version uint64, ok bool) {
	version, err := strconv.ParseUint(strings.TrimPrefix(key, changePrefix), 10, 64)
	return version, err == nil && version > 0 && key == changeKey(version)
}
