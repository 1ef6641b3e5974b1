package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
	"auburnlatch/schema"
)

// halfPeer is another VM that answers exchanges and is cut off before it can be
// handed anything.
type halfPeer struct{ tables []*schema.ReplicaDelta }

func (p *halfPeer) Sync(_ context.Context, m *schema.SyncRequest) (*schema.SyncReply, error) {
	return &schema.SyncReply{Tables: p.tables, Delta: &schema.Delta{Want: m.GetStamps().GetKeys()}}, nil
}

func (p *halfPeer) Compare(context.Context, *schema.CompareRequest) (*schema.Delta, error) {
	return nil, errors.New("cut off")
}

func (p *halfPeer) Hand(context.Context, *schema.SyncReply) (*schema.Ack, error) {
	return nil, errors.New("cut off")
}

func (p *halfPeer) serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterReplica(mux, p); err != nil {
		t.Fatal(err)
	}
	s := &peerServing{drpcserver.New(mux), l}
	go s.run(t.Context())
	return l.Addr().String()
}

type peerServing struct {
	*drpcserver.Server
	l net.Listener
}

// run serves until the test ends.
func (s *peerServing) run(ctx context.Context) { _ = s.Serve(ctx, s.l) }

// A VM hears from a neighbour that an upstream drains, and the neighbour is cut
// off before the VM can hand it anything in return. The exchange failed, but the
// copy has changed. Were it not looked at, the VM would go on sending to that
// upstream until the next change of anything: a request arrived over four seconds
// after the upstream had said that it leaves.
func TestChangeOfFailedExchangeIsInForce(t *testing.T) {
	value, err := json.Marshal(config(1))
	if err != nil {
		t.Fatal(err)
	}
	peer := &halfPeer{tables: []*schema.ReplicaDelta{
		{To: &schema.ReplicaHead{Table: entry.TableRules, Version: 1}, Rows: []*schema.ReplicaRow{{Key: "config", Version: 1, Value: value}}},
		{To: &schema.ReplicaHead{Table: entry.TableTargets, Version: 1}},
	}}
	addr := peer.serve(t)
	turnedAway := newPlatform()
	turnedAway.setAway(true)
	v := startVM(t, "a", turnedAway, func(cfg *settings.Entry) { cfg.Seeds = []string{addr} })
	ready(t, v)
}
