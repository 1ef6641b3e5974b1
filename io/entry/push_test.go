package entry_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"auburnlatch/core/member"
	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// upToDatePeer is a live VM that claims to have all tables in an exchange, and records the
// changes that are pushed to it.
type upToDatePeer struct {
	addr string

	mu    sync.Mutex
	syncs int
	seen  map[string]uint64 // The newest version received, by table.
}

func (p *upToDatePeer) Sync(context.Context, *schema.SyncRequest) (*schema.SyncReply, error) {
	p.mu.Lock()
	p.syncs++
	p.mu.Unlock()
	self := member.Entry{
		Stamp: member.Stamp{Key: member.KeyOf("vm/quiet"), Incarnation: 1, Seq: 1, Beat: 1},
		VM:    &member.VM{Name: "quiet", Zone: "z", Address: member.Address{Name: "quiet", Zone: "z", Peer: p.addr}},
	}
	return &schema.SyncReply{
		Delta: &schema.Delta{Entries: wire.FromEntries([]member.Entry{self})},
		Heads: []*schema.ReplicaHead{
			{Table: entry.TableRules, Version: math.MaxInt64}, {Table: entry.TableTargets, Version: math.MaxInt64},
		},
	}, nil
}

func (p *upToDatePeer) Compare(context.Context, *schema.CompareRequest) (*schema.Delta, error) {
	return &schema.Delta{}, nil
}

func (p *upToDatePeer) Hand(_ context.Context, m *schema.SyncReply) (*schema.Ack, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range m.GetTables() {
		table := d.GetTo().GetTable()
		for _, r := range d.GetRows() {
			p.seen[table] = max(p.seen[table], r.GetVersion())
		}
		if d.GetWhole() {
			p.seen[table] = max(p.seen[table], d.GetTo().GetVersion())
		}
	}
	return &schema.Ack{}, nil
}

// known reports whether the VM under test knows this one: an exchange has followed the one
// in which it introduced itself.
func (p *upToDatePeer) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.syncs >= 2
}

func (p *upToDatePeer) pushed(table string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[table]
}

// A VM must push changes to others without being asked. With pulls alone, the last of 80 VMs
// got a configuration two and a half seconds after the first, as one of the two readers may
// know it a second before the other. It served requests by the old one for too long.
func TestChangeIsPushed(t *testing.T) {
	p, v, peer := startBesideUpToDatePeer(t)
	for version := uint64(2); version < 5; version++ {
		p.set(entry.TableRules, "config", config(version))
		row := p.newest()
		eventually(t, "the configuration is pushed", func() bool { return peer.pushed(entry.TableRules) >= row })
	}
	p.remove(entry.TableTargets, "t")
	row := p.newest()
	eventually(t, "the upstream's leaving is pushed", func() bool { return peer.pushed(entry.TableTargets) >= row })
	if !v.Ready() {
		t.Error("the VM is not ready any more")
	}
}

// startBesideUpToDatePeer starts a VM that knows an upToDatePeer.
func startBesideUpToDatePeer(t *testing.T) (*fakePlatform, *runningVM, *upToDatePeer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &upToDatePeer{addr: l.Addr().String(), seen: map[string]uint64{}}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterReplica(mux, peer); err != nil {
		t.Fatal(err)
	}
	go (&peerServing{drpcserver.New(mux), l}).run(t.Context())

	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "t", "127.0.0.1:1")
	v := startVM(t, "a", p, func(cfg *settings.Entry) { cfg.Seeds = []string{peer.addr} })
	ready(t, v)
	eventually(t, "the other VM is known", peer.known)
	return p, v, peer
}

// A large change must not be pushed to a VM that has it. Rules of 77 teams are some KB, and
// each VM received each version three times: at 300 VMs a change of one key cost 9 MB. Small
// changes are still pushed unasked.
func TestLargeChangeIsNotPushedTwice(t *testing.T) {
	p, v, peer := startBesideUpToDatePeer(t)
	large := config(9)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 400 {
		route := *large.Routes[0]
		route.Name, route.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/%x/", r.Uint64())
		large.Routes = append(large.Routes, &route)
	}
	p.set(entry.TableRules, "config", large)
	row := p.newest()
	eventually(t, "the rules are in force", func() bool { return v.Figures(time.Now()).ConfigVersion == large.Version })
	register(p, "later", "127.0.0.1:1")
	change := p.newest()
	eventually(t, "a later change is pushed", func() bool { return peer.pushed(entry.TableTargets) >= change })
	if got := peer.pushed(entry.TableRules); got >= row {
		t.Error("rules of some KB were pushed to a VM that has them")
	}
}
