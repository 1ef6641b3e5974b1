package platform

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/core/claim"
	"auburnlatch/io/wire"
)

const (
	claimPrefix   = "claim/"
	claimPageSize = 500
)

// Claims stores claims as rows of the platform's table.
type Claims struct {
	table   *Client
	batch   *Batcher
	breaker claim.Breaker
	memory  claim.Memory
	rewrite rewriter
}

// NewClaims returns the claims stored on a platform.
func NewClaims(c *Client) *Claims {
	claims := &Claims{table: c, batch: NewBatcher(c)}
	claims.rewrite.claims = claims
	return claims
}

// rowKey returns the key of a claim's row. Its parts are escaped, so that no
// caller can produce the key of another caller's claim.
func rowKey(k claim.Key) string {
	return claimPrefix + url.PathEscape(k.Service) + "/" + url.PathEscape(k.Caller) + "/" + url.PathEscape(k.Idempotency)
}

func parseRowKey(s string) (claim.Key, error) {
	parts := strings.Split(strings.TrimPrefix(s, claimPrefix), "/")
	if len(parts) != 3 {
		return claim.Key{}, errors.Newf("claim row key %q has %d parts, want 3", s, len(parts))
	}
	for i := range parts {
		var err error
		if parts[i], err = url.PathUnescape(parts[i]); err != nil {
			return claim.Key{}, errors.Wrap(err, "claim row key")
		}
	}
	return claim.Key{Service: parts[0], Caller: parts[1], Idempotency: parts[2]}, nil
}

// Allow reports whether a new claim may be tried now; see claim.Breaker.
func (c *Claims) Allow(now time.Time) bool { return c.breaker.Allow(now) }

// Write executes a Write action and returns the result. If the write conflicts
// with a row that cannot be decoded, the outcome is Unknown.
//
// Nothing is claimed for a while after the platform was restored; see claim.Memory. Other
// writes to a row that it may have lost wait until the row is there again: their outcome is
// Unknown until then.
func (c *Claims) Write(ctx context.Context, key claim.Key, a claim.Action) claim.Result {
	now := time.Now()
	c.CheckEra(now)
	claiming := a.Row.State == claim.Claimed
	if claiming && c.memory.Holds(now) {
		return claim.Result{Outcome: claim.NotSent}
	}
	era, known := c.memory.Era()
	if own, ok := c.memory.Find(key, a.Row.Attempt); ok && !claiming {
		if own.Era != era {
			return claim.Result{Outcome: claim.Unknown}
		}
		a.If = own.Version
	}
	r, err := c.write(ctx, key, a)
	if err != nil {
		return claim.Result{Outcome: claim.NotSent}
	}
	c.breaker.Report(time.Now(), r.Outcome)
	if r.Outcome != claim.Applied && r.Outcome != claim.Conflict {
		return claim.Result{Outcome: r.Outcome}
	}
	c.observe(time.Now(), r.Era)
	restored := known && r.Era != era || !known && r.Era > 0
	if r.Outcome == claim.Applied {
		return c.applied(key, a.Row, r, claiming && restored)
	}
	if restored && !claiming {
		return claim.Result{Outcome: claim.Unknown}
	}
	return conflict(r.Row)
}

// applied returns the result of a write that was applied, and remembers the row.
func (c *Claims) applied(key claim.Key, row claim.Row, r WriteResult, doubtful bool) claim.Result {
	result := claim.Result{Outcome: claim.Applied, Version: claim.Version(r.Version)}
	c.memory.Remember(time.Now(), claim.Written{Key: key, Row: row, Version: result.Version, Era: r.Era})
	if doubtful {
		result.Outcome = claim.Doubtful
	}
	return result
}

// conflict returns the result of a write that conflicted with a row.
func conflict(found Row) claim.Result {
	result := claim.Result{Outcome: claim.Conflict, Version: claim.Version(found.Version)}
	if found.Version == 0 {
		return result
	}
	var err error
	if result.Row, err = wire.ClaimRow(found.Value); err != nil {
		return claim.Result{Outcome: claim.Unknown}
	}
	return result
}

func (c *Claims) write(ctx context.Context, key claim.Key, a claim.Action) (WriteResult, error) {
	value, err := wire.FromClaimRow(a.Row)
	if err != nil {
		return WriteResult{}, err
	}
	return c.batch.Write(ctx, Write{Key: rowKey(key), If: uint64(a.If), Value: value}), nil
}

// CheckEra starts writing rows again if any answer of the platform has shown that it was
// restored.
func (c *Claims) CheckEra(now time.Time) {
	if !c.table.AnsweredAt().IsZero() {
		c.observe(now, c.table.Era())
	}
}

func (c *Claims) observe(now time.Time, era uint64) {
	if c.memory.Observe(now, era) {
		c.rewrite.start()
	}
}

// Answer returns the body of a stored answer, from the object store if it is
// there.
func (c *Claims) Answer(ctx context.Context, a *claim.Answer) ([]byte, error) {
	if a.Object == "" {
		return a.Body, nil
	}
	return c.table.GetObject(ctx, a.Object)
}

// StoreBody stores a body that is too large for the table in the object store.
func (c *Claims) StoreBody(ctx context.Context, name string, body []byte) error {
	return c.table.PutObject(ctx, name, body)
}

// ListedClaim is a claim with its key and version.
type ListedClaim struct {
	Key     claim.Key
	Version claim.Version
	Row     claim.Row
}

// List returns the claims in state Claimed, in order of keys.
func (c *Claims) List(ctx context.Context) ([]ListedClaim, error) {
	var list []ListedClaim
	err := c.each(ctx, func(l ListedClaim) error {
		if l.Row.State == claim.Claimed {
			list = append(list, l)
		}
		return nil
	})
	return list, err
}

// Sweep deletes the rows that may be deleted as of now, and returns their number.
// A row that changes meanwhile is not deleted.
func (c *Claims) Sweep(ctx context.Context, now time.Time) (int, error) {
	n := 0
	err := c.each(ctx, func(l ListedClaim) error {
		if !claim.MayDelete(now, l.Row) {
			return nil
		}
		r := c.batch.Write(ctx, Write{Key: rowKey(l.Key), If: uint64(l.Version), Delete: true})
		if r.Outcome == claim.Unknown || r.Outcome == claim.NotSent {
			return errors.New("sweep: the table did not respond to a delete")
		}
		if r.Outcome == claim.Applied {
			n++
		}
		return nil
	})
	return n, err
}

// each calls f for each row, in order of keys.
func (c *Claims) each(ctx context.Context, f func(ListedClaim) error) error {
	after := ""
	for {
		rows, err := c.table.Scan(ctx, claimPrefix, after, claimPageSize)
		if err != nil {
			return err
		}
		for _, r := range rows {
			l, err := decodeClaim(r)
			if err != nil {
				return err
			}
			if err := f(l); err != nil {
				return err
			}
		}
		if len(rows) < claimPageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func decodeClaim(r Row) (ListedClaim, error) {
	key, err := parseRowKey(r.Key)
	if err != nil {
		return ListedClaim{}, err
	}
	row, err := wire.ClaimRow(r.Value)
	return ListedClaim{Key: key, Version: claim.Version(r.Version), Row: row}, err
}

// ErrNotResolvable is returned for a claim that does not exist, is settled, or
// may still be written by its holder.
var ErrNotResolvable = errors.New("the claim cannot be resolved")

// Resolve settles a claim as of now by an operator's decision; ran states whether
// the operation ran.
func (c *Claims) Resolve(ctx context.Context, now time.Time, key claim.Key, ran bool) error {
	r, err := c.table.Get(ctx, rowKey(key))
	if err != nil {
		return err
	}
	if r.Version == 0 {
		return errors.Wrap(ErrNotResolvable, "no claim with this key")
	}
	row, err := wire.ClaimRow(r.Value)
	if err != nil {
		return err
	}
	if !claim.MayResolve(now, row) {
		return errors.Wrapf(ErrNotResolvable, "state %s, deadline %s; a claim can be resolved %v after its deadline",
			row.State, row.Deadline.UTC().Format(time.RFC3339), claim.MaxWriteDelay)
	}
	row.State, row.Written = claim.Tombstone, now
	if ran {
		row.State, row.Answer = claim.Done, &claim.Answer{TooLarge: true}
	}
	value, err := wire.FromClaimRow(row)
	if err != nil {
		return err
	}
	res, err := c.table.Commit(ctx, []Write{{Key: r.Key, If: r.Version, Value: value}})
	if err == nil && len(res.Conflicts) > 0 {
		err = errors.Wrap(ErrNotResolvable, "the claim changed in the meantime")
	}
	return err
}

// Wait blocks until no write is in flight.
func (c *Claims) Wait() {
	c.rewrite.wait.Wait()
	c.batch.Wait()
}
