package peer

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"auburnlatch/schema"
)

// SentCounter counts the bytes that a VM sends to others, by their content. The zero value
// is ready to use.
type SentCounter struct {
	// Members counts digests and entries of members, Tables heads and rows of replicas.
	Members, Tables atomic.Int64
	// Placements, Poison, Demand and Upstreams count datagrams.
	Placements, Poison, Demand, Upstreams atomic.Int64
}

// Sent is a snapshot of a SentCounter, in bytes.
type Sent struct{ Members, Tables, Placements, Poison, Demand, Upstreams int64 }

// Sent returns the numbers of bytes sent so far.
func (s *SentCounter) Sent() Sent {
	return Sent{s.Members.Load(), s.Tables.Load(), s.Placements.Load(), s.Poison.Load(), s.Demand.Load(), s.Upstreams.Load()}
}

// count adds the size of a reply or pushed message.
func (s *SentCounter) count(m *schema.SyncReply) {
	members := proto.Size(m.GetDelta())
	s.Members.Add(int64(members))
	s.Tables.Add(int64(proto.Size(m) - members))
}

// countRequest adds the size of a request.
func (c *Client) countRequest(m *schema.SyncRequest) {
	members := proto.Size(m.GetStamps()) + proto.Size(&schema.SyncRequest{Zone: m.GetZone(), Sums: m.GetSums()})
	c.sent.Members.Add(int64(members))
	c.sent.Tables.Add(int64(proto.Size(m) - members))
}
