package peer

import (
	"context"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"auburnlatch/core/lease"
	"auburnlatch/core/member"
	"auburnlatch/core/replica"
	"auburnlatch/io/clock"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

// Replicas are a VM's copies of tables, by name.
type Replicas map[string]*replica.Table

// freshBy is how much later a confirmation must be to be worth a message of
// its own.
const freshBy = 200 * time.Millisecond

// scope is that of exchanges with a VM of a zone, "" where its zone is not that of the
// members or is not known.
func scope(zone string) member.Scope { return member.Scope{Zone: zone, Global: true} }

// heads returns how far the copies are.
func (r Replicas) heads(now time.Time) map[string]replica.Head {
	heads := make(map[string]replica.Head, len(r))
	for name, t := range r {
		h := t.Head(now)
		h.VerifiedAge = sureAge(t)
		heads[name] = h
	}
	return heads
}

// sureAge is how long ago the copy certainly was the newest.
func sureAge(t *replica.Table) time.Duration {
	asOf, _ := t.VerifiedAsOf()
	return asOf.Age(clock.SinceBoot())
}

// renew takes in how far the copies were of a VM that was asked at a moment. Only an answer
// does that: what a VM hands over unasked may have been on its way for any time.
func (r Replicas) renew(asked lease.Moment, theirs map[string]replica.Head) {
	for name, h := range theirs {
		if t := r[name]; t != nil {
			t.Renew(h.Version, lease.AsOf(asked, h.VerifiedAge))
		}
	}
}

// deltas returns what copies at theirs lack. A copy that is up to date is still
// told how lately the platform confirmed it.
func (r Replicas) deltas(now time.Time, theirs map[string]replica.Head) []replica.Delta {
	var list []replica.Delta
	for name, t := range r {
		own, their := t.Head(now), theirs[name]
		if own.Version < their.Version || own.Age == replica.NeverConfirmed {
			continue
		}
		if own.Version == their.Version && own.Age+freshBy > their.Age {
			continue
		}
		list = append(list, t.Since(now, their.Version))
	}
	return list
}

// apply takes in deltas and reports whether any copy changed.
func (r Replicas) apply(now time.Time, list []replica.Delta) (changed bool) {
	for _, d := range list {
		if t := r[d.To.Table]; t != nil {
			changed = t.Apply(now, d) || changed
		}
	}
	return changed
}

// Sync brings the members and copies of this VM and of that at addr level. It
// reports whether a copy of this VM changed. zone is that of both VMs, or "". Without
// members (nil) only the copies are brought level: these are asked about more often than
// members.
func (c *Client) Sync(ctx context.Context, addr, zone string, members *member.Table, replicas Replicas) (changed bool, err error) {
	err = c.callConn(ctx, addr, func(ctx context.Context, conn drpc.Conn) error {
		client := schema.NewDRPCReplicaClient(conn)
		now, asked := time.Now(), clock.SinceBoot()
		ask := &schema.SyncRequest{Heads: wire.FromHeads(replicas.heads(now)), TablesOnly: members == nil}
		if members != nil {
			ask.Zone, ask.Sums = zone, wire.FromZoneSums(members.Sums())
			ask.Stamps = wire.FromStamps(members.Digest(now, scope(zone)))
		}
		c.countAsk(ask)
		reply, err := client.Sync(ctx, ask)
		if err != nil {
			return err
		}
		tables, err := wire.ReplicaDeltas(reply.GetTables())
		if err != nil {
			return err
		}
		now = time.Now()
		changed = replicas.apply(now, tables)
		replicas.renew(asked, wire.Heads(reply.GetHeads()))
		back := &schema.SyncReply{
			Delta:  &schema.Delta{},
			Tables: c.packer.FromReplicaDeltas(replicas.deltas(now, wire.Heads(reply.GetHeads()))),
		}
		if members != nil {
			back.Delta.Entries, err = c.levelMembers(ctx, client, members, zone, reply)
			if err != nil {
				return err
			}
		}
		if len(back.Delta.Entries) == 0 && len(back.Tables) == 0 {
			return nil
		}
		c.sent.count(back)
		_, err = client.Hand(ctx, back)
		return err
	})
	return changed, err
}

// levelMembers takes in what an answer tells of members, asks for what differs in other
// zones, and returns what the answering VM lacks.
func (c *Client) levelMembers(ctx context.Context, client schema.DRPCReplicaClient, members *member.Table, zone string, reply *schema.SyncReply) ([]*schema.Entry, error) {
	delta, err := wire.Delta(reply.GetDelta())
	if err != nil {
		return nil, err
	}
	members.MergeDelta(time.Now(), delta)
	wanted := members.Get(time.Now(), scope(zone), delta.Want)
	if zones := reply.GetDiffering(); len(zones) > 0 {
		differing := member.Scope{Zones: zones}
		ask := &schema.CompareRequest{Zones: zones, Stamps: wire.FromStamps(members.Digest(time.Now(), differing))}
		c.sent.Members.Add(int64(proto.Size(ask)))
		answer, err := client.Compare(ctx, ask)
		if err != nil {
			return nil, err
		}
		if delta, err = wire.Delta(answer); err != nil {
			return nil, err
		}
		members.MergeDelta(time.Now(), delta)
		wanted = append(wanted, members.Get(time.Now(), differing, delta.Want)...)
	}
	return wire.FromEntries(wanted), nil
}

// HandTables hands changes of tables to the VM at addr, which takes those that
// join on to its copies.
func (c *Client) HandTables(ctx context.Context, addr string, deltas []replica.Delta) error {
	return c.callConn(ctx, addr, func(ctx context.Context, conn drpc.Conn) error {
		m := &schema.SyncReply{Tables: c.packer.FromReplicaDeltas(deltas)}
		c.sent.count(m)
		_, err := schema.NewDRPCReplicaClient(conn).Hand(ctx, m)
		return err
	})
}

// ReplicaServer answers other VMs' exchanges.
type ReplicaServer struct {
	members  *member.Table
	replicas Replicas
	changed  func()
	packer   wire.TablePacker
	sent     *SentCounter
}

// NewReplicaServer returns a server of what the VM knows. changed is called
// after a copy has changed.
func NewReplicaServer(members *member.Table, replicas Replicas, changed func(), sent *SentCounter) *ReplicaServer {
	return &ReplicaServer{members: members, replicas: replicas, changed: changed, sent: sent}
}

// Serve answers on the listener until ctx ends.
func (s *ReplicaServer) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := schema.DRPCRegisterReplica(mux, s); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Sync implements schema.DRPCReplicaServer.
func (s *ReplicaServer) Sync(_ context.Context, m *schema.SyncRequest) (*schema.SyncReply, error) {
	stamps, err := wire.Stamps(m.GetStamps())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	reply := &schema.SyncReply{
		Heads:  wire.FromHeads(s.replicas.heads(now)),
		Tables: s.packer.FromReplicaDeltas(s.replicas.deltas(now, wire.Heads(m.GetHeads()))),
	}
	if !m.GetTablesOnly() {
		reply.Delta = wire.FromDelta(s.members.Answer(now, scope(m.GetZone()), stamps))
		reply.Differing = slices.DeleteFunc(s.members.Differing(wire.ZoneSums(m.GetSums())), func(zone string) bool {
			return zone == m.GetZone() // Its VMs were compared one by one.
		})
	}
	s.sent.count(reply)
	return reply, nil
}

// Compare implements schema.DRPCReplicaServer.
func (s *ReplicaServer) Compare(_ context.Context, m *schema.CompareRequest) (*schema.Delta, error) {
	stamps, err := wire.Stamps(m.GetStamps())
	if err != nil {
		return nil, err
	}
	answer := wire.FromDelta(s.members.Answer(time.Now(), member.Scope{Zones: m.GetZones()}, stamps))
	s.sent.Members.Add(int64(proto.Size(answer)))
	return answer, nil
}

// Hand implements schema.DRPCReplicaServer.
func (s *ReplicaServer) Hand(_ context.Context, m *schema.SyncReply) (*schema.Ack, error) {
	delta, err := wire.Delta(m.GetDelta())
	if err != nil {
		return nil, err
	}
	tables, err := wire.ReplicaDeltas(m.GetTables())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	s.members.MergeDelta(now, delta)
	if s.replicas.apply(now, tables) {
		s.changed()
	}
	return &schema.Ack{}, nil
}
