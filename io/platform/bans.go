package platform

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/poison"
	"auburnlatch/schema"
)

const (
	banPrefix   = "ban/"
	banPageSize = 500
)

// errBanConflict is returned if another VM wrote the same rows at the same time. The rows
// are read again before the next attempt.
var errBanConflict = errors.New("bans: another VM changed the rows at the same time")

// Bans persists bans of requests on the platform, one per row. It implements
// quarantine.BanStore.
type Bans struct{ table *Client }

// NewBans returns the bans persisted on a platform.
func NewBans(c *Client) *Bans { return &Bans{table: c} }

func banKey(p poison.Print) string { return banPrefix + p.String() }

// SaveBans implements quarantine.BanStore.
func (b *Bans) SaveBans(ctx context.Context, bans []poison.Ban) error {
	var writes []Write
	for _, ban := range bans {
		row, err := b.table.Get(ctx, banKey(ban.Print))
		if err != nil {
			return err
		}
		value, err := proto.Marshal(&schema.PoisonBan{Print: ban.Print.Bytes(), At: ban.At, Lifted: ban.Lifted})
		if err != nil {
			return errors.Wrap(err, "bans")
		}
		writes = append(writes, Write{Key: row.Key, If: row.Version, Value: value})
	}
	return b.commit(ctx, writes)
}

func (b *Bans) commit(ctx context.Context, writes []Write) error {
	if len(writes) == 0 {
		return nil
	}
	result, err := b.table.Commit(ctx, writes)
	if err != nil {
		return err
	}
	if len(result.Conflicts) > 0 {
		return errBanConflict
	}
	return nil
}

// Bans implements quarantine.BanStore. Rows that cannot be decoded are left out.
func (b *Bans) Bans(ctx context.Context) ([]poison.Ban, error) {
	var list []poison.Ban
	for after := ""; ; {
		rows, err := b.table.Scan(ctx, banPrefix, after, banPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var m schema.PoisonBan
			p, ok := poison.ParsePrint(strings.TrimPrefix(row.Key, banPrefix))
			if !ok || proto.Unmarshal(row.Value, &m) != nil {
				continue
			}
			list = append(list, poison.Ban{Print: p, At: m.GetAt(), Lifted: m.GetLifted()})
		}
		if len(rows) < banPageSize {
			return list, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// DeleteBans implements quarantine.BanStore.
func (b *Bans) DeleteBans(ctx context.Context, prints []poison.Print) error {
	var writes []Write
	for _, p := range prints {
		row, err := b.table.Get(ctx, banKey(p))
		if err != nil {
			return err
		}
		if row.Version > 0 {
			writes = append(writes, Write{Key: row.Key, If: row.Version, Delete: true})
		}
	}
	return b.commit(ctx, writes)
}

// Era implements quarantine.BanStore.
func (b *Bans) Era() uint64 { return b.table.Era() }
