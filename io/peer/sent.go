package peer

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"auburnlatch/schema"
)

// SentCounter counts the bytes that a VM sends to others, by what they are about. The zero
// value is ready.
type SentCounter struct {
	// Members are digests and entries of VMs, Tables heads and rows of copies.
	Members, Tables atomic.Int64
	// Placements, Poison, Demand and Upstreams are datagrams.
	Placements, Poison, Demand, Upstreams atomic.Int64
}

// Sent is a SentCounter at one moment.
type Sent struct{ Members, Tables, Placements, Poison, Demand, Upstreams int64 }

// Sent returns what was sent so far.
func (t *SentCounter) Sent() Sent {
	return Sent{t.Members.Load(), t.Tables.Load(), t.Placements.Load(), t.Poison.Load(), t.Demand.Load(), t.Upstreams.Load()}
}

// count counts an answer or what is handed over.
func (t *SentCounter) count(m *schema.SyncReply) {
	members := proto.Size(m.GetDelta())
	t.Members.Add(int64(members))
	t.Tables.Add(int64(proto.Size(m) - members))
}

// countAsk counts a question.
func (c *Client) countAsk(m *schema.SyncRequest) {
	members := proto.Size(m.GetStamps()) + proto.Size(&schema.SyncRequest{Zone: m.GetZone(), Sums: m.GetSums()})
	c.sent.Members.Add(int64(members))
	c.sent.Tables.Add(int64(proto.Size(m) - members))
}
