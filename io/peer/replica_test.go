package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"auburnlatch/core/member"
	"auburnlatch/core/replica"
	"auburnlatch/io/peer"
)

// node is a VM's members and its replica of one table.
type node struct {
	members  *member.Table
	replicas peer.Replicas
}

func newNode(name string) node {
	now := time.Now()
	n := node{
		members:  member.NewTable(name, "z", 1, now, member.WithReports()),
		replicas: peer.Replicas{"t": replica.NewTable("t", func(_ string, a, b []byte) bool { return string(a) == string(b) })},
	}
	n.members.Publish(now, member.VM{Name: name, Zone: "z"})
	return n
}

// serve starts a server for the node and returns its address.
func (n node) serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go peer.NewReplicaServer(n.members, n.replicas, func() {}, &peer.SentCounter{}).Serve(ctx, l)
	return l.Addr().String()
}

// VMs synchronize tables with the readers of the platform more often than they
// exchange members. Such a sync must transfer the newer table in either direction,
// and no members: with 200 VMs these are 10 KB each time.
func TestSyncWithoutMembers(t *testing.T) {
	row := replica.Row{Key: "k", Version: 3, Value: []byte("v")}
	for _, tc := range []struct {
		name          string
		members       bool
		wantMembers   int
		newerIsCaller bool
	}{
		{"the server has the newer replica", false, 0, false},
		{"the client has the newer replica", false, 0, true},
		{"with members", true, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newNode("a"), newNode("b")
			newer, older := b, a
			if tc.newerIsCaller {
				newer, older = a, b
			}
			newer.replicas["t"].Apply(time.Now(), replica.Delta{Whole: true, To: replica.Head{Table: "t", Version: 3}, Rows: []replica.Row{row}})
			members := a.members
			if !tc.members {
				members = nil
			}
			if _, err := peer.NewClient().Sync(t.Context(), b.serve(t), "z", members, a.replicas); err != nil {
				t.Fatal(err)
			}
			if rows, _ := older.replicas["t"].Rows(); len(rows) != 1 || string(rows[0].Value) != "v" {
				t.Errorf("the older replica has rows %v, want the row of the newer", rows)
			}
			if got := len(a.members.Peers(time.Now())); got != tc.wantMembers {
				t.Errorf("the client has %d peers, want %d", got, tc.wantMembers)
			}
			if got := len(b.members.Peers(time.Now())); got != tc.wantMembers {
				t.Errorf("the server has %d peers, want %d", got, tc.wantMembers)
			}
		})
	}
}

// Guards against VMs that never get a row which was withdrawn and written again with its old value.
func TestRowThatReturnedReachesVMs(t *testing.T) {
	now := time.Now()
	same := func(_ string, a, b []byte) bool { return string(a) == string(b) }
	meaning := func(_ string, value []byte) []byte { return value }
	a, b := newNode("a"), newNode("b")
	for _, n := range []node{a, b} {
		n.replicas["t"] = replica.NewTable("t", same, replica.WithMeaning(meaning))
		n.replicas["t"].Apply(now, replica.Delta{Whole: true, To: replica.Head{Table: "t", Version: 50}, Rows: []replica.Row{{Key: "order", Version: 50, Value: []byte("v")}}})
	}
	apply := func(n node, from, to uint64, r replica.Row) {
		n.replicas["t"].Apply(now, replica.Delta{From: from, To: replica.Head{Table: "t", Version: to}, Rows: []replica.Row{r}})
	}
	apply(b, 50, 80, replica.Row{Key: "order", Version: 80, Removed: true})
	apply(a, 50, 100, replica.Row{Key: "order", Version: 95, Value: []byte("v")})
	addr := a.serve(t)
	c := peer.NewClient()
	for range 2 { // The first delta lacks the row, the second is whole.
		if _, err := c.Sync(t.Context(), addr, "z", nil, b.replicas); err != nil {
			t.Fatal(err)
		}
	}
	rows, _ := b.replicas["t"].Rows()
	if head := b.replicas["t"].Head(now); head.Version != 100 || len(rows) != 1 || rows[0].Removed {
		t.Errorf("at version %d with %+v, want the row at version 100", head.Version, rows)
	}
}
