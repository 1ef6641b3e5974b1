package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/steer"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// ChangeLog provides the inventory and its recent changes.
type ChangeLog interface {
	// ChangesAfter returns the changes after a version, oldest first, or
	// false if they are no longer kept.
	ChangesAfter(version uint64) ([]inventory.Change, bool)
	// Era returns the era of the platform that the inventory is from.
	Era() uint64
	Inventory() *inventory.Inventory
}

// Server serves membership entries, inventory changes and weights to other VMs.
type Server struct {
	table    *member.Table
	register ChangeLog
	rows     *steer.Rows
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
}

// NewServer returns a server of a VM's table, inventory changes and weights.
func NewServer(table *member.Table, register ChangeLog, rows *steer.Rows) *Server {
	return &Server{table: table, register: register, rows: rows}
}

// Serve serves connections of the listener until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := schema.DRPCRegisterPeer(mux, s); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, countingListener{l, s})
}

// Traffic returns the number of bytes read and written so far.
func (s *Server) Traffic() (in, out int64) { return s.bytesIn.Load(), s.bytesOut.Load() }

// Exchange implements schema.DRPCPeerServer.
func (s *Server) Exchange(_ context.Context, d *schema.Digest) (*schema.Delta, error) {
	stamps, err := wire.Stamps(d.GetStamps())
	if err != nil {
		return nil, err
	}
	scope := member.Scope{Zone: d.GetZone(), Global: d.GetGlobal()}
	return wire.FromDelta(s.table.Answer(time.Now(), scope, stamps)), nil
}

// Push implements schema.DRPCPeerServer.
func (s *Server) Push(_ context.Context, m *schema.Delta) (*schema.Ack, error) {
	d, err := wire.Delta(m)
	if err != nil {
		return nil, err
	}
	s.table.MergeDelta(time.Now(), d)
	return &schema.Ack{}, nil
}

// errEraChanged reports that the inventory was replaced while a request was served.
var errEraChanged = errors.New("the inventory was replaced by that of a restored platform")

// Changes implements schema.DRPCPeerServer.
func (s *Server) Changes(_ context.Context, r *schema.ChangesRequest) (*schema.ChangesReply, error) {
	era := s.register.Era()
	inv := s.register.Inventory()
	changes, ok := s.register.ChangesAfter(r.GetAfter())
	if !ok || r.GetEra() != era {
		return &schema.ChangesReply{Version: inv.Version, Snapshot: wire.FromInventory(inv), Era: era}, nil
	}
	reply := &schema.ChangesReply{Version: inv.Version, Era: era}
	for _, c := range changes {
		reply.Changes = append(reply.Changes, wire.FromChange(c))
	}
	if s.register.Era() != era {
		return nil, errEraChanged
	}
	return reply, nil
}

// Weights implements schema.DRPCPeerServer.
func (s *Server) Weights(context.Context, *schema.WeightsRequest) (*schema.WeightsReply, error) {
	now := time.Now()
	reply := &schema.WeightsReply{}
	for _, key := range s.rows.Keys() {
		row := s.rows.Row(key)
		weights := row.Weights()
		if len(weights) == 0 {
			continue
		}
		reply.Rows = append(reply.Rows, &schema.RowState{
			Service: key.Service, Origin: key.Origin,
			Weights: wire.FromWeights(weights), Moves: wire.FromMoves(now, row.Moves(now)),
		})
	}
	return reply, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, in: &l.server.bytesIn, out: &l.server.bytesOut}, nil
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	return n, err
}
