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

// node is a VM's members and its copy of one table.
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

// serve answers exchanges for a node and returns its address.
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

// VMs ask those who read the platform for its tables more often than they tell each
// other of themselves. Such an exchange must bring the table whichever side has it,
// and carry no members: with 200 VMs these are 10 KB each time.
func TestExchangeOfTablesAlone(t *testing.T) {
	row := replica.Row{Key: "k", Version: 3, Value: []byte("v")}
	for _, tc := range []struct {
		name          string
		members       bool
		wantMembers   int
		newerIsCaller bool
	}{
		{"the answering VM has the newer copy", false, 0, false},
		{"the asking VM has the newer copy", false, 0, true},
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
				t.Errorf("the older copy has %v", rows)
			}
			if got := len(a.members.Peers(time.Now())); got != tc.wantMembers {
				t.Errorf("the asking VM knows %d others, want %d", got, tc.wantMembers)
			}
			if got := len(b.members.Peers(time.Now())); got != tc.wantMembers {
				t.Errorf("the answering VM knows %d others, want %d", got, tc.wantMembers)
			}
		})
	}
}
