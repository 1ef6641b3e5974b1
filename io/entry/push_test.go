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

// quietPeer is a live VM that never lacks anything it is told of in an exchange,
// and notes what it is handed of itself.
type quietPeer struct {
	addr string

	mu    sync.Mutex
	syncs int
	seen  map[string]uint64 // How far the newest changes handed over reach, by table.
}

func (p *quietPeer) Sync(context.Context, *schema.SyncRequest) (*schema.SyncReply, error) {
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

func (p *quietPeer) Compare(context.Context, *schema.CompareRequest) (*schema.Delta, error) {
	return &schema.Delta{}, nil
}

func (p *quietPeer) Hand(_ context.Context, m *schema.SyncReply) (*schema.Ack, error) {
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

// known reports whether the VM under test has heard of this one: an exchange has
// followed the one that told it.
func (p *quietPeer) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.syncs >= 2
}

func (p *quietPeer) handed(table string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[table]
}

// Of 80 VMs two read the platform, and one of these may know a configuration a
// second before the other. The rest asked one of the two at a time, so the last
// had it two and a half seconds after the first, and served by the old one for
// longer than was promised. A VM that learns of a change must tell others
// without being asked.
func TestChangeIsHandedOnUnasked(t *testing.T) {
	p, v, peer := startBesideQuietPeer(t)
	for version := uint64(2); version < 5; version++ {
		p.set(entry.TableRules, "config", config(version))
		row := p.newest()
		eventually(t, "the configuration is handed on", func() bool { return peer.handed(entry.TableRules) >= row })
	}
	p.remove(entry.TableTargets, "t")
	row := p.newest()
	eventually(t, "the upstream's leaving is handed on", func() bool { return peer.handed(entry.TableTargets) >= row })
	if !v.Ready() {
		t.Error("the VM is not ready any more")
	}
}

// startBesideQuietPeer starts a VM that knows another, which lacks nothing.
func startBesideQuietPeer(t *testing.T) (*fakePlatform, *runningVM, *quietPeer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &quietPeer{addr: l.Addr().String(), seen: map[string]uint64{}}
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

// Rules of 77 teams are some KB, and each VM was handed each version of them three times,
// though it had it after the first: at 300 VMs a change of one key was 9 MB. Whoever has
// a version is not handed it again; small changes go out unasked all the same.
func TestLargeChangeIsNotHandedToWhoHasIt(t *testing.T) {
	p, v, peer := startBesideQuietPeer(t)
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
	eventually(t, "a later change is handed on", func() bool { return peer.handed(entry.TableTargets) >= change })
	if got := peer.handed(entry.TableRules); got >= row {
		t.Error("rules of some KB were handed to a VM that has them")
	}
}
