package wire_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/core/member"
	"auburnlatch/core/replica"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// exchanged returns an encoded reply of a VM in an exchange.
func exchanged(t testing.TB) []byte {
	t.Helper()
	now := start
	members := member.NewTable("a", "z", 1, now, member.WithReports())
	members.Publish(now, member.VM{Name: "a", Zone: "z", Capacity: member.Capacity{LinkMbps: 20, Cores: 0.16}, Traffic: member.Traffic{Requests: 80, Bytes: 1e6}})
	var packer wire.TablePacker
	data, err := proto.Marshal(&schema.SyncReply{
		Delta:  wire.FromDelta(members.Answer(now, member.Scope{Zone: "z", Global: true}, nil)),
		Tables: packer.FromReplicaDeltas([]replica.Delta{registrations(40).Since(now, 0), registrations(2).Since(now, 0)}),
		Heads:  wire.FromHeads(map[string]replica.Head{"targets": {Table: "targets", Version: 7}}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A VM of another version, or a process that is not a VM, replies in an exchange. Any
// reply must be merged or rejected with an error, without a crash, and must not replace
// the receiving VM's own entry.
func FuzzExchange(f *testing.F) {
	good := exchanged(f)
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte("no such thing"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m schema.SyncReply
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		now := start
		members := member.NewTable("self", "z", 1, now, member.WithReports())
		members.Publish(now, member.VM{Name: "self", Zone: "z"})
		if d, err := wire.Delta(m.GetDelta()); err == nil {
			members.MergeDelta(now, d)
			members.Peers(now)
			members.Answer(now, member.Scope{Zone: "z", Global: true}, d.Beats)
		}
		if list, err := wire.ReplicaDeltas(m.GetTables()); err == nil {
			copied := registrations(3)
			for _, d := range list {
				copied.Apply(now, d)
			}
			copied.Since(now, 0)
		}
		wire.Heads(m.GetHeads())
		if own := members.Own(); own == nil || own.Name != "self" {
			t.Errorf("the VM's own entry is %+v", own)
		}
	})
}

// Any host that can send a datagram to a VM can forge placements. They may make the VM
// place objects again, but must not crash it or make it use an unknown target.
func FuzzDatagram(f *testing.F) {
	good, err := proto.Marshal(&schema.Datagram{Placements: wire.FromPlacements([]balance.Placement{
		{Service: "s", Route: "r", Object: 7, Target: "i-1", Born: 3, Version: 1, Made: 5},
	})})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		var m schema.Datagram
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		b := balance.New("self", "r", "z")
		b.MergePlacements(start, wire.Placements(m.GetPlacements()))
		b.SetSynced()
		if lease, err := b.Choose(start, balance.Request{Service: "s", Route: "r", Key: "k"}); err == nil {
			t.Errorf("a request without targets was sent to %+v", lease.Target)
		}
	})
}
