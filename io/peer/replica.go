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

// Replicas are a VM's replicas of tables, by name.
type Replicas map[string]*replica.Table

// minAgeGain is how much more recent a confirmation must be to be sent without
// changes.
const minAgeGain = 200 * time.Millisecond

// scope returns the scope of exchanges with a VM of a zone, which is "" if the two VMs are
// in different zones or the zone is unknown.
func scope(zone string) member.Scope { return member.Scope{Zone: zone, Global: true} }

// heads returns the versions and ages of the replicas.
func (r Replicas) heads(now time.Time) map[string]replica.Head {
	heads := make(map[string]replica.Head, len(r))
	for name, t := range r {
		h := t.Head(now)
		h.VerifiedAge = verifiedAge(t)
		heads[name] = h
	}
	return heads
}

// verifiedAge returns how long ago the replica was verified to be the newest version.
func verifiedAge(t *replica.Table) time.Duration {
	asOf, _ := t.VerifiedAsOf()
	return asOf.Age(clock.SinceBoot())
}

// observe merges the content of the heads that another VM has sent.
func (r Replicas) observe(theirs map[string]replica.Head) {
	for name, h := range theirs {
		if t := r[name]; t != nil && !h.NoEra {
			t.ObserveContent(h)
		}
	}
}

// confirm merges the heads in another VM's reply to a request sent at asked. Only a reply
// confirms a replica: a message sent without a request may have been delayed for any time.
func (r Replicas) confirm(asked lease.Moment, theirs map[string]replica.Head) {
	for name, h := range theirs {
		if t := r[name]; t != nil {
			t.Renew(h, lease.AsOf(asked, h.VerifiedAge))
		}
	}
}

// deltas returns what replicas with the heads theirs lack. A replica of the same
// version gets an empty delta if this one was confirmed by the platform more
// recently.
func (r Replicas) deltas(now time.Time, theirs map[string]replica.Head) []replica.Delta {
	var list []replica.Delta
	for name, t := range r {
		own, their := t.Head(now), theirs[name]
		if their.NoEra {
			their.Era = own.Era // A whole delta in each exchange would not help its receiver.
		}
		switch {
		case own.Before(their), own.Age == replica.NeverConfirmed:
		case own.Era != their.Era:
			list = append(list, t.Whole(now))
		case their.WantsWhole && own.Version > their.Version:
			list = append(list, t.All(now))
		case own.Version == their.Version && own.Age+minAgeGain > their.Age:
		default:
			list = append(list, t.Since(now, their.Version))
		}
	}
	return list
}

// apply applies deltas and reports whether any replica changed.
func (r Replicas) apply(now time.Time, list []replica.Delta) (changed bool) {
	for _, d := range list {
		if t := r[d.To.Table]; t != nil {
			changed = t.Apply(now, d) || changed
		}
	}
	return changed
}

// Sync synchronizes the members and replicas of this VM with those of the VM at addr, in
// both directions. It reports whether a replica of this VM changed. zone is the zone of both
// VMs, or "". If members is nil, only the replicas are synchronized, as is done more often
// than for members.
func (c *Client) Sync(ctx context.Context, addr, zone string, members *member.Table, replicas Replicas) (changed bool, err error) {
	err = c.callConn(ctx, addr, func(ctx context.Context, conn drpc.Conn) error {
		client := schema.NewDRPCReplicaClient(conn)
		now, asked := time.Now(), clock.SinceBoot()
		ask := &schema.SyncRequest{Heads: wire.FromHeads(replicas.heads(now)), TablesOnly: members == nil}
		if members != nil {
			ask.Zone, ask.Sums = zone, wire.FromZoneSums(members.Sums())
			ask.Stamps = wire.FromStamps(members.Digest(now, scope(zone)))
		}
		c.countRequest(ask)
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
		heads := wire.Heads(reply.GetHeads())
		replicas.confirm(asked, heads)
		replicas.observe(heads)
		back := &schema.SyncReply{
			Delta:  &schema.Delta{},
			Tables: c.packer.FromReplicaDeltas(replicas.deltas(now, heads)),
		}
		if members != nil {
			back.Delta.Entries, err = c.syncMembers(ctx, client, members, zone, reply)
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

// syncMembers merges the members in a reply, requests those of other zones that differ,
// and returns the entries that the replying VM lacks.
func (c *Client) syncMembers(ctx context.Context, client schema.DRPCReplicaClient, members *member.Table, zone string, reply *schema.SyncReply) ([]*schema.Entry, error) {
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

// PushTables sends table deltas to the VM at addr, which applies those that start at
// the version of its replica.
func (c *Client) PushTables(ctx context.Context, addr string, deltas []replica.Delta) error {
	return c.callConn(ctx, addr, func(ctx context.Context, conn drpc.Conn) error {
		m := &schema.SyncReply{Tables: c.packer.FromReplicaDeltas(deltas)}
		c.sent.count(m)
		_, err := schema.NewDRPCReplicaClient(conn).Hand(ctx, m)
		return err
	})
}

// ReplicaServer serves the members and replicas of a VM to others.
type ReplicaServer struct {
	members  *member.Table
	replicas Replicas
	changed  func()
	packer   wire.TablePacker
	sent     *SentCounter
}

// NewReplicaServer returns a server of members and replicas. changed is called
// after a replica has changed.
func NewReplicaServer(members *member.Table, replicas Replicas, changed func(), sent *SentCounter) *ReplicaServer {
	return &ReplicaServer{members: members, replicas: replicas, changed: changed, sent: sent}
}

// Serve serves connections of the listener until ctx is done.
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
	heads := wire.Heads(m.GetHeads())
	s.replicas.observe(heads)
	reply := &schema.SyncReply{
		Heads:  wire.FromHeads(s.replicas.heads(now)),
		Tables: s.packer.FromReplicaDeltas(s.replicas.deltas(now, heads)),
	}
	if !m.GetTablesOnly() {
		reply.Delta = wire.FromDelta(s.members.Answer(now, scope(m.GetZone()), stamps))
		reply.Differing = slices.DeleteFunc(s.members.Differing(wire.ZoneSums(m.GetSums())), func(zone string) bool {
			return zone == m.GetZone() // The stamps of its VMs were compared one by one.
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
