package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

const (
	// perDatagram is how many placements a datagram holds, at 60 bytes each: below
	// what links carry in one piece.
	perDatagram = 18
	// maxDatagram in bytes; what is longer is not ours.
	maxDatagram = 4 << 10
	// maxAnswered bounds the placements that one question is answered with.
	maxAnswered = 4 << 10
)

// PlacementTable is what a VM knows of where objects belong.
type PlacementTable interface {
	// Told takes placements in and returns those that hold against them.
	Told(now time.Time, list []balance.Placement) (newer []balance.Placement)
	// Placements returns all, and a number that rises with each change.
	Placements() (list []balance.Placement, changes uint64)
	// Join tells that all that another VM knows has been told.
	Join()
}

// Placements tells other VMs where objects belong, by datagrams: nothing waits for
// them, and one that is lost costs an object one more first touch.
type Placements struct {
	conn  *net.UDPConn
	table PlacementTable
}

// ListenPlacements listens at an address, IP:port.
func ListenPlacements(addr string, t PlacementTable) (*Placements, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "placements")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "placements")
	}
	return &Placements{conn: conn, table: t}, nil
}

// Run takes in what other VMs tell until ctx ends.
func (p *Placements) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue // ctx has ended, or an earlier datagram reached nobody.
		}
		var m schema.PlacementNews
		if proto.Unmarshal(buf[:n], &m) != nil {
			continue // Not of a VM.
		}
		if newer := p.table.Told(time.Now(), wire.Placements(m.GetPlacements())); len(newer) > 0 {
			p.tell(from, newer)
		}
		if m.GetAnswer() {
			p.table.Join()
		}
		if m.GetAsk() {
			all, _ := p.table.Placements()
			p.tell(from, all[:min(maxAnswered, len(all))])
			p.send(from, &schema.PlacementNews{Answer: true})
		}
	}
}

// Tell tells VMs of placements. A VM that cannot be reached hears of them when it
// asks, or is told by those who know better when it tells its own.
func (p *Placements) Tell(addrs []string, list []balance.Placement) {
	for _, addr := range addrs {
		if to, err := netip.ParseAddrPort(addr); err == nil {
			p.tell(to, list)
		}
	}
}

// Ask asks a VM for all that it knows.
func (p *Placements) Ask(addr string) {
	if to, err := netip.ParseAddrPort(addr); err == nil {
		p.send(to, &schema.PlacementNews{Ask: true})
	}
}

func (p *Placements) tell(to netip.AddrPort, list []balance.Placement) {
	for len(list) > 0 {
		n := min(perDatagram, len(list))
		p.send(to, &schema.PlacementNews{Placements: wire.FromPlacements(list[:n])})
		list = list[n:]
	}
}

func (p *Placements) send(to netip.AddrPort, m *schema.PlacementNews) {
	data, err := proto.Marshal(m)
	if err != nil {
		return // Only a text that is not UTF-8 does that; the object then stays this VM's.
	}
	// A datagram that cannot be sent is one that is lost.
	_, _ = p.conn.WriteToUDPAddrPort(data, to)
}
