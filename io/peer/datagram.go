package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/core/poison"
	"auburnlatch/core/ratelimit"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

const (
	// perDatagram is how many placements, runs or bans a datagram holds, at 60 bytes each:
	// below what links carry in one piece.
	perDatagram = 18
	// maxDatagram in bytes; what is longer is not ours.
	maxDatagram = 4 << 10
	// maxAnswered bounds the placements that one question is answered with.
	maxAnswered = 4 << 10
	// demandsPerDatagram is the same of teams' demands, at nine bytes each, and maxDemands
	// bounds those that a VM tells at once. Beyond it teams have equal parts.
	demandsPerDatagram = 140
	maxDemands         = 10 * demandsPerDatagram
)

// PlacementTable is what a VM knows of where objects belong.
type PlacementTable interface {
	// MergePlacements merges placements and returns the known ones that supersede them.
	MergePlacements(now time.Time, list []balance.Placement) (newer []balance.Placement)
	// Placements returns all, and a number that rises with each change.
	Placements() (list []balance.Placement, changes uint64)
	// SetSynced records that another VM has sent all that it knows.
	SetSynced()
}

// PoisonTable is what a VM knows of requests that crash upstreams.
type PoisonTable interface {
	// MergeNews merges what another VM knows.
	MergeNews(now time.Time, n poison.News)
	// Snapshot returns what a VM that has just started needs to know.
	Snapshot() poison.News
	// Digest stands for all bans; 0: there are none.
	Digest() uint64
	// Synced reports whether the bans that the platform stores have been merged, and
	// SetSynced records that another VM which has them has sent them.
	Synced() bool
	SetSynced()
}

// LimitTable is what a VM knows of the demand of teams with limits.
type LimitTable interface {
	// Knows reports whether the sender at an address, IP:port, is a VM. Others are not
	// heard: they could take all VMs' parts away, or hand out more than there is.
	Knows(now time.Time, addr string) bool
	// Told takes in what is asked of the VM at an address, and returns the totals; false:
	// this VM cannot tell.
	Told(now time.Time, addr string, list []ratelimit.Demand, first bool) (ratelimit.Total, bool)
	// Heard takes in totals.
	Heard(now time.Time, t ratelimit.Total)
}

// UpstreamTable is what a VM knows of what upstreams say of themselves.
type UpstreamTable interface {
	// Knows reports whether the sender at an address, IP:port, is a VM. Others are not heard:
	// they could keep all VMs from an upstream.
	Knows(now time.Time, addr string) bool
	// MergeReports merges what another VM knows.
	MergeReports(now time.Time, list []balance.Report)
}

// Datagrams tells other VMs at once what they had better know: where objects belong, and
// which requests end upstreams. Nothing waits for it. A placement that is lost costs an
// object one more first touch; a ban that is lost is told again to those who differ.
type Datagrams struct {
	conn       *net.UDPConn
	placements PlacementTable
	poison     PoisonTable
	limits     LimitTable
	upstreams  UpstreamTable
	sent       *SentCounter
}

// DatagramsOption varies Datagrams.
type DatagramsOption func(*Datagrams)

// WithDatagramsCounted has what is sent counted.
func WithDatagramsCounted(t *SentCounter) DatagramsOption { return func(d *Datagrams) { d.sent = t } }

// WithLimits has the demand of teams with limits told and taken.
func WithLimits(t LimitTable) DatagramsOption { return func(d *Datagrams) { d.limits = t } }

// WithUpstreams has what upstreams say of themselves told and taken.
func WithUpstreams(t UpstreamTable) DatagramsOption { return func(d *Datagrams) { d.upstreams = t } }

// ListenDatagrams listens at an address, IP:port. Without placements (nil) none are told
// nor taken.
func ListenDatagrams(addr string, placements PlacementTable, poisoned PoisonTable, opts ...DatagramsOption) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "datagrams")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrap(err, "datagrams")
	}
	d := &Datagrams{conn: conn, placements: placements, poison: poisoned, sent: &SentCounter{}}
	for _, opt := range opts {
		opt(d)
	}
	return d, nil
}

// Run takes in what other VMs tell until ctx ends.
func (d *Datagrams) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { d.conn.Close() })()
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue // ctx has ended, or an earlier datagram reached nobody.
		}
		var m schema.Datagram
		if proto.Unmarshal(buf[:n], &m) != nil {
			continue // Not of a VM.
		}
		if d.placements != nil {
			d.takePlacements(from, &m)
		}
		if m.GetPoison() != nil {
			d.takePoison(from, m.GetPoison())
		}
		if d.limits != nil && (m.GetDemand() != nil || m.GetTotal() != nil) {
			d.takeDemand(from, &m)
		}
		if now := time.Now(); d.upstreams != nil && len(m.GetUpstreams()) > 0 && d.upstreams.Knows(now, from.String()) {
			d.upstreams.MergeReports(now, wire.Reports(m.GetUpstreams()))
		}
	}
}

func (d *Datagrams) takeDemand(from netip.AddrPort, m *schema.Datagram) {
	if !d.limits.Knows(time.Now(), from.String()) {
		return
	}
	if told := m.GetDemand(); told != nil {
		total, ok := d.limits.Told(time.Now(), from.String(), wire.Demands(told), !told.GetMore())
		if ok && told.GetAsk() {
			d.send(from, &schema.Datagram{Total: wire.FromTotal(total)})
		}
	}
	if m.GetTotal() != nil {
		d.limits.Heard(time.Now(), wire.Total(m.GetTotal()))
	}
}

// TellDemand tells a VM what is asked of this one. With ask it answers with the totals.
func (d *Datagrams) TellDemand(addr string, list []ratelimit.Demand, ask bool) {
	list = list[:min(maxDemands, len(list))]
	d.each([]string{addr}, func(to netip.AddrPort) {
		for more := false; !more || len(list) > 0; more = true {
			n := min(demandsPerDatagram, len(list))
			d.send(to, &schema.Datagram{Demand: wire.FromDemands(list[:n], ask, more)})
			list = list[n:]
		}
	})
}

func (d *Datagrams) takePlacements(from netip.AddrPort, m *schema.Datagram) {
	if newer := d.placements.MergePlacements(time.Now(), wire.Placements(m.GetPlacements())); len(newer) > 0 {
		d.tell(from, newer)
	}
	if m.GetAnswer() {
		d.placements.SetSynced()
	}
	if m.GetAsk() {
		all, _ := d.placements.Placements()
		d.tell(from, all[:min(maxAnswered, len(all))])
		d.send(from, &schema.Datagram{Answer: true})
	}
}

func (d *Datagrams) takePoison(from netip.AddrPort, m *schema.PoisonNews) {
	d.poison.MergeNews(time.Now(), wire.Poison(time.Now(), m))
	if m.GetAnswer() {
		d.poison.SetSynced()
	}
	differs := m.GetDigest() != 0 && m.GetDigest() != d.poison.Digest()
	if m.GetAsk() || differs {
		d.tellPoison(from, d.poison.Snapshot())
		d.send(from, &schema.Datagram{Poison: &schema.PoisonNews{Answer: m.GetAsk() && d.poison.Synced(), Ask: differs}})
	}
}

// Tell tells VMs of placements. A VM that cannot be reached hears of them when it
// asks, or is told by those who know better when it tells its own.
func (d *Datagrams) Tell(addrs []string, list []balance.Placement) {
	d.each(addrs, func(to netip.AddrPort) { d.tell(to, list) })
}

// Ask asks a VM for all placements that it knows.
func (d *Datagrams) Ask(addr string) {
	d.each([]string{addr}, func(to netip.AddrPort) { d.send(to, &schema.Datagram{Ask: true}) })
}

// TellPoison tells VMs of requests under which upstreams end.
func (d *Datagrams) TellPoison(addrs []string, n poison.News) {
	d.each(addrs, func(to netip.AddrPort) { d.tellPoison(to, n) })
}

// AskPoison asks VMs for all that they know of such requests.
func (d *Datagrams) AskPoison(addrs ...string) {
	d.each(addrs, func(to netip.AddrPort) { d.send(to, &schema.Datagram{Poison: &schema.PoisonNews{Ask: true}}) })
}

// ComparePoison tells a VM what this one's bans come to. One that has others tells them.
func (d *Datagrams) ComparePoison(addr string) {
	d.each([]string{addr}, func(to netip.AddrPort) {
		d.send(to, &schema.Datagram{Poison: &schema.PoisonNews{Digest: d.poison.Digest()}})
	})
}

// TellReports tells VMs what upstreams said.
func (d *Datagrams) TellReports(addrs []string, list []balance.Report) {
	d.each(addrs, func(to netip.AddrPort) {
		for rest := list; len(rest) > 0; {
			n := min(perDatagram, len(rest))
			d.send(to, &schema.Datagram{Upstreams: wire.FromReports(rest[:n])})
			rest = rest[n:]
		}
	})
}

// each calls f with each address that is one.
func (d *Datagrams) each(addrs []string, f func(netip.AddrPort)) {
	for _, addr := range addrs {
		if to, err := netip.ParseAddrPort(addr); err == nil {
			f(to)
		}
	}
}

func (d *Datagrams) tell(to netip.AddrPort, list []balance.Placement) {
	for len(list) > 0 {
		n := min(perDatagram, len(list))
		d.send(to, &schema.Datagram{Placements: wire.FromPlacements(list[:n])})
		list = list[n:]
	}
}

// tellPoison tells one VM, in as many datagrams as it takes.
func (d *Datagrams) tellPoison(to netip.AddrPort, n poison.News) {
	for !n.Empty() {
		d.send(to, &schema.Datagram{Poison: wire.FromPoison(time.Now(), n.Take(perDatagram))})
	}
}

// count counts a datagram by what it is about.
func (d *Datagrams) count(m *schema.Datagram, bytes int) {
	n := &d.sent.Placements
	switch {
	case m.GetPoison() != nil:
		n = &d.sent.Poison
	case m.GetDemand() != nil || m.GetTotal() != nil:
		n = &d.sent.Demand
	case len(m.GetUpstreams()) > 0:
		n = &d.sent.Upstreams
	}
	n.Add(int64(bytes))
}

func (d *Datagrams) send(to netip.AddrPort, m *schema.Datagram) {
	data, err := proto.Marshal(m)
	if err != nil {
		return // Only a text that is not UTF-8 does that; the object then stays this VM's.
	}
	d.count(m, len(data))
	// A datagram that cannot be sent is one that is lost.
	_, _ = d.conn.WriteToUDPAddrPort(data, to)
}
