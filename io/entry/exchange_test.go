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

// cutOffPeer is another VM that answers exchanges, but is cut off before it can receive
// anything.
type cutOffPeer struct{ tables []*schema.ReplicaDelta }

func (p *cutOffPeer) Sync(_ context.Context, m *schema.SyncRequest) (*schema.SyncReply, error) {
	return &schema.SyncReply{Tables: p.tables, Delta: &schema.Delta{Want: m.GetStamps().GetKeys()}}, nil
}

func (p *cutOffPeer) Compare(context.Context, *schema.CompareRequest) (*schema.Delta, error) {
	return nil, errors.New("cut off")
}

func (p *cutOffPeer) Hand(context.Context, *schema.SyncReply) (*schema.Ack, error) {
	return nil, errors.New("cut off")
}

func (p *cutOffPeer) serve(t *testing.T) string {
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

// A VM receives from a neighbor that an upstream drains, and the neighbor is cut off before
// the VM can send anything in return. The exchange fails, but the copy has changed and must
// be applied. Otherwise the VM would send to that upstream until the next change: a request
// arrived over four seconds after the upstream had begun to drain.
func TestChangeOfFailedExchangeIsApplied(t *testing.T) {
	value, err := json.Marshal(config(1))
	if err != nil {
		t.Fatal(err)
	}
	peer := &cutOffPeer{tables: []*schema.ReplicaDelta{
		{To: &schema.ReplicaHead{Table: entry.TableRules, Version: 1}, Rows: []*schema.ReplicaRow{{Key: "config", Version: 1, Value: value}}},
		{To: &schema.ReplicaHead{Table: entry.TableTargets, Version: 1}},
	}}
	addr := peer.serve(t)
	refusing := newPlatform()
	refusing.setUnavailable(true)
	v := startVM(t, "a", refusing, func(cfg *settings.Entry) { cfg.Seeds = []string{addr} })
	ready(t, v)
}
