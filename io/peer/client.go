package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/steer"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// Limits of the client.
const (
	callTimeout = time.Second
	// maxIdle is how long an unused connection is kept. VMs that are called regularly are
	// called again within a few seconds. Some hundred others are called only now and then,
	// and their connections are not kept.
	maxIdle = 10 * time.Second
)

// Client calls other VMs over one connection to each. It is safe for concurrent
// use.
type Client struct {
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	dial     Dial
	sent     *SentCounter
	packer   wire.TablePacker

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is the connection to one VM. Its lock is held during a call, as a drpc
// connection carries one call at a time.
type conn struct {
	// calls counts those that hold the connection or wait for it, and used is when the last
	// one ended. Client.mu guards both.
	calls int
	used  time.Time

	mu   sync.Mutex
	drpc *drpcconn.Conn
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithExchangesCounted adds the bytes sent in exchanges of members and tables to s.
func WithExchangesCounted(s *SentCounter) Option { return func(c *Client) { c.sent = s } }

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	c := &Client{conns: map[string]*conn{}, dial: (&net.Dialer{}).DialContext, sent: &SentCounter{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Traffic returns the number of bytes read and written so far.
func (c *Client) Traffic() (in, out int64) { return c.bytesIn.Load(), c.bytesOut.Load() }

// Exchange synchronizes the table with that of the VM at addr, within the scope:
// each VM receives the entries that it lacks. ownZone is the zone of this VM.
func (c *Client) Exchange(ctx context.Context, addr string, t *member.Table, ownZone string, scope member.Scope) error {
	return c.call(ctx, addr, func(ctx context.Context, p schema.DRPCPeerClient) error {
		digest := &schema.Digest{Zone: ownZone, Global: scope.Global, Stamps: wire.FromStamps(t.Digest(time.Now(), scope))}
		reply, err := p.Exchange(ctx, digest)
		if err != nil {
			return err
		}
		delta, err := wire.Delta(reply)
		if err != nil {
			return err
		}
		t.MergeDelta(time.Now(), delta)
		if len(delta.Want) == 0 {
			return nil
		}
		_, err = p.Push(ctx, &schema.Delta{Entries: wire.FromEntries(t.Get(time.Now(), scope, delta.Want))})
		return err
	})
}

// Changes is a VM's reply to a request for inventory changes: the changes, or a
// snapshot of the inventory if the VM no longer has them.
type Changes struct {
	Changes  []inventory.Change
	Snapshot *inventory.Inventory
	// Era is the era of the platform that they are from.
	Era uint64
}

// Position is a version of the inventory and the era of the platform that it is from.
type Position struct{ Era, Version uint64 }

// Changes requests the inventory changes after a position from the VM at addr.
func (c *Client) Changes(ctx context.Context, addr string, after Position) (Changes, error) {
	var out Changes
	err := c.call(ctx, addr, func(ctx context.Context, p schema.DRPCPeerClient) error {
		reply, err := p.Changes(ctx, &schema.ChangesRequest{After: after.Version, Era: after.Era})
		if err != nil {
			return err
		}
		out.Era = reply.GetEra()
		if reply.GetSnapshot() != nil {
			out.Snapshot, err = wire.Inventory(reply.GetSnapshot())
			return err
		}
		for _, m := range reply.GetChanges() {
			change, err := wire.Change(m)
			if err != nil {
				return err
			}
			out.Changes = append(out.Changes, change)
		}
		return nil
	})
	return out, err
}

// Weights copies the weights and recent moves of the VM at addr into rows and
// returns the number of rows received.
func (c *Client) Weights(ctx context.Context, addr string, rows *steer.Rows) (int, error) {
	n := 0
	err := c.call(ctx, addr, func(ctx context.Context, p schema.DRPCPeerClient) error {
		reply, err := p.Weights(ctx, &schema.WeightsRequest{})
		if err != nil {
			return err
		}
		now := time.Now()
		for _, m := range reply.GetRows() {
			key := steer.RowKey{Service: m.GetService(), Origin: m.GetOrigin()}
			rows.Row(key).Restore(wire.Weights(m.GetWeights()), wire.Moves(now, m.GetMoves()))
			n++
		}
		return nil
	})
	return n, err
}

func (c *Client) call(ctx context.Context, addr string, f func(context.Context, schema.DRPCPeerClient) error) error {
	return c.callConn(ctx, addr, func(ctx context.Context, conn drpc.Conn) error {
		return f(ctx, schema.NewDRPCPeerClient(conn))
	})
}

func (c *Client) callConn(ctx context.Context, addr string, f func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cn := c.acquire(addr)
	defer c.release(cn)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if err := c.connect(ctx, cn, addr); err != nil {
		return errors.Wrapf(err, "peer %s", addr)
	}
	err := f(ctx, cn.drpc)
	if err != nil {
		// It is unknown what the connection still carries, so the next call
		// opens a new one.
		_ = cn.drpc.Close()
		cn.drpc = nil
	}
	return errors.Wrapf(err, "peer %s", addr)
}

// acquire returns the connection to a VM for a call. It stays as it is until release.
func (c *Client) acquire(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn := c.conns[addr]
	if cn == nil {
		cn = &conn{}
		c.conns[addr] = cn
	}
	cn.calls++
	return cn
}

func (c *Client) release(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.calls--
	cn.used = time.Now()
}

func (c *Client) connect(ctx context.Context, cn *conn, addr string) error {
	if cn.drpc != nil {
		select {
		case <-cn.drpc.Closed():
		default:
			return nil
		}
	}
	raw, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	cn.drpc = drpcconn.New(&countingConn{Conn: raw, in: &c.bytesIn, out: &c.bytesOut})
	return nil
}

// CloseIdle closes connections that have been unused for longer than maxIdle.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, cn := range c.conns {
		if cn.calls > 0 || now.Sub(cn.used) <= maxIdle {
			continue
		}
		if cn.drpc != nil {
			_ = cn.drpc.Close()
		}
		delete(c.conns, addr)
	}
}
