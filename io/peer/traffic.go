package peer

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"auburnlatch/schema"
)

// Traffic counts the bytes that a VM sends to others, by what they are about. The zero
// value is ready.
type Traffic struct {
	// Members are digests and entries of VMs, Tables heads and rows of copies.
	Members, Tables atomic.Int64
	// Placements, Poison and Demand are datagrams.
	Placements, Poison, Demand atomic.Int64
}

// Sent is a Traffic at one moment.
type Sent struct{ Members, Tables, Placements, Poison, Demand int64 }

// Sent returns what was sent so far.
func (t *Traffic) Sent() Sent {
	return Sent{t.Members.Load(), t.Tables.Load(), t.Placements.Load(), t.Poison.Load(), t.Demand.Load()}
}

// count counts an answer or what is handed over.
func (t *Traffic) count(m *schema.SyncReply) {
	members := proto.Size(m.GetDelta())
	t.Members.Add(int64(members))
	t.Tables.Add(int64(proto.Size(m) - members))
}

// countAsk counts a question.
func (c *Client) countAsk(m *schema.SyncRequest) {
	members := proto.Size(m.GetStamps())
	c.traffic.Members.Add(int64(members))
	c.traffic.Tables.Add(int64(proto.Size(m) - members))
}
