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
	// itemsPerDatagram is how many placements, runs or bans a datagram holds. At 60 bytes each
	// it stays below the MTU of the links.
	itemsPerDatagram = 18
	// maxDatagram is the size of the receive buffer in bytes, longer than any datagram of a VM.
	maxDatagram = 4 << 10
	// maxReplyPlacements bounds the placements in the reply to one request.
	maxReplyPlacements = 4 << 10
	// demandsPerDatagram is how many teams' demands a datagram holds, at 15 bytes each, and
	// maxDemands is how many a VM sends at once. Teams beyond it get equal shares.
	demandsPerDatagram = 85
	maxDemands         = 16 * demandsPerDatagram
)

// PlacementTable is a VM's record of the placements of objects.
type PlacementTable interface {
	// MergePlacements merges placements and returns the known ones that supersede them.
	MergePlacements(now time.Time, list []balance.Placement) (newer []balance.Placement)
	// Placements returns all placements, and a number that rises with each change.
	Placements() (list []balance.Placement, changes uint64)
	// SetSynced records that another VM has sent all its placements.
	SetSynced()
}

// PoisonTable is a VM's record of requests that crash upstreams.
type PoisonTable interface {
	// MergeNews merges what another VM knows.
	MergeNews(now time.Time, n poison.News)
	// Snapshot returns everything that a VM needs at its start.
	Snapshot() poison.News
	// Digest returns a hash of all bans, or 0 if there are none.
	Digest() uint64
	// Synced reports whether the bans that the platform stores have been merged, and
	// SetSynced records that another VM which has them has sent them.
	Synced() bool
	SetSynced()
}

// LimitTable is a VM's record of the demand of teams with rate limits.
type LimitTable interface {
	// IsPeer reports whether the sender at an address, IP:port, is a VM. Datagrams of other
	// senders are ignored: they could take the share of a limit away from all VMs, or grant
	// more than the limit.
	IsPeer(now time.Time, addr string) bool
	// RecordDemand records the demand at the VM at an address and returns the totals, or
	// false if this VM does not have them.
	RecordDemand(now time.Time, addr string, r ratelimit.Report) (ratelimit.Total, bool)
	// Heard records received totals.
	Heard(now time.Time, t ratelimit.Total)
}

// UpstreamTable is a VM's record of upstreams' own notices: their limits, and whether they are
// leaving.
type UpstreamTable interface {
	// IsPeer reports whether the sender at an address, IP:port, is a VM. Datagrams of other
	// senders are ignored: they could keep all VMs from using an upstream.
	IsPeer(now time.Time, addr string) bool
	// MergeReports merges the reports of another VM.
	MergeReports(now time.Time, list []balance.Report)
}

// Datagrams sends updates to other VMs without delay: placements, requests that crash
// upstreams, teams' demands, and notices of upstreams. Delivery is not acknowledged. A lost
// placement costs one more cold start of an object, and a lost ban is sent again to VMs whose
// digest differs.
type Datagrams struct {
	conn       *net.UDPConn
	placements PlacementTable
	poison     PoisonTable
	limits     LimitTable
	upstreams  UpstreamTable
	sent       *SentCounter
	senders    senders // Of news of poison requests.
}

// DatagramsOption configures Datagrams.
type DatagramsOption func(*Datagrams)

// WithDatagramsCounted adds the bytes sent in datagrams to s.
func WithDatagramsCounted(s *SentCounter) DatagramsOption { return func(d *Datagrams) { d.sent = s } }

// WithLimits sets the table that receives the demand of teams with rate limits.
func WithLimits(t LimitTable) DatagramsOption { return func(d *Datagrams) { d.limits = t } }

// WithUpstreams sets the table that receives reports of upstreams' notices.
func WithUpstreams(t UpstreamTable) DatagramsOption { return func(d *Datagrams) { d.upstreams = t } }

// ListenDatagrams listens at an address, IP:port. If placements is nil, received placements
// are ignored.
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

// Run receives datagrams of other VMs until ctx is done.
func (d *Datagrams) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { d.conn.Close() })()
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			continue // ctx is done, or an earlier datagram could not be delivered.
		}
		var m schema.Datagram
		if proto.Unmarshal(buf[:n], &m) != nil {
			continue // Not sent by a VM.
		}
		if d.placements != nil {
			d.receivePlacements(from, &m)
		}
		if m.GetPoison() != nil {
			d.receivePoison(from, m.GetPoison())
		}
		if d.limits != nil && (m.GetDemand() != nil || m.GetTotal() != nil) {
			d.receiveDemand(from, &m)
		}
		if now := time.Now(); d.upstreams != nil && len(m.GetUpstreams()) > 0 && d.upstreams.IsPeer(now, from.String()) {
			d.upstreams.MergeReports(now, wire.Reports(m.GetUpstreams()))
		}
	}
}

func (d *Datagrams) receiveDemand(from netip.AddrPort, m *schema.Datagram) {
	if !d.limits.IsPeer(time.Now(), from.String()) {
		return
	}
	if demand := m.GetDemand(); demand != nil {
		total, ok := d.limits.RecordDemand(time.Now(), from.String(), wire.Report(demand))
		if ok && demand.GetAsk() {
			d.send(from, &schema.Datagram{Total: wire.FromTotal(total)})
		}
	}
	if m.GetTotal() != nil {
		d.limits.Heard(time.Now(), wire.Total(m.GetTotal()))
	}
}

// SendDemand sends the demand at this VM to another. With ask it requests the totals in
// return.
func (d *Datagrams) SendDemand(addr string, r ratelimit.Report, ask bool) {
	list := r.Demands[:min(maxDemands, len(r.Demands))]
	d.forEachAddr([]string{addr}, func(to netip.AddrPort) {
		for more := false; !more || len(list) > 0; more = true {
			n := min(demandsPerDatagram, len(list))
			part := ratelimit.Report{Demands: list[:n], Up: r.Up, Continued: more}
			d.send(to, &schema.Datagram{Demand: wire.FromReport(part, ask)})
			list = list[n:]
		}
	})
}

func (d *Datagrams) receivePlacements(from netip.AddrPort, m *schema.Datagram) {
	if newer := d.placements.MergePlacements(time.Now(), wire.Placements(m.GetPlacements())); len(newer) > 0 {
		d.sendPlacementsTo(from, newer)
	}
	if m.GetAnswer() {
		d.placements.SetSynced()
	}
	if m.GetAsk() {
		all, _ := d.placements.Placements()
		d.sendPlacementsTo(from, all[:min(maxReplyPlacements, len(all))])
		d.send(from, &schema.Datagram{Answer: true})
	}
}

func (d *Datagrams) receivePoison(from netip.AddrPort, m *schema.PoisonNews) {
	d.senders.add(time.Now(), from.String())
	d.poison.MergeNews(time.Now(), wire.Poison(time.Now(), m))
	if m.GetAnswer() {
		d.poison.SetSynced()
	}
	differs := m.GetDigest() != 0 && m.GetDigest() != d.poison.Digest()
	if m.GetAsk() || differs {
		d.sendPoisonTo(from, d.poison.Snapshot())
		d.send(from, &schema.Datagram{Poison: &schema.PoisonNews{Answer: m.GetAsk() && d.poison.Synced(), Ask: differs}})
	}
}

// SendPlacements sends placements to VMs. A VM that is not reached receives them when it
// requests all placements, or in reply to its own outdated ones.
func (d *Datagrams) SendPlacements(addrs []string, list []balance.Placement) {
	d.forEachAddr(addrs, func(to netip.AddrPort) { d.sendPlacementsTo(to, list) })
}

// Ask requests all placements that a VM has.
func (d *Datagrams) Ask(addr string) {
	d.forEachAddr([]string{addr}, func(to netip.AddrPort) { d.send(to, &schema.Datagram{Ask: true}) })
}

// SendPoison sends updates on requests that crash upstreams to VMs.
func (d *Datagrams) SendPoison(addrs []string, n poison.News) {
	d.forEachAddr(addrs, func(to netip.AddrPort) { d.sendPoisonTo(to, n) })
}

// RequestPoison requests all records of such requests from VMs.
func (d *Datagrams) RequestPoison(addrs ...string) {
	d.forEachAddr(addrs, func(to netip.AddrPort) { d.send(to, &schema.Datagram{Poison: &schema.PoisonNews{Ask: true}}) })
}

// SendPoisonDigest sends the digest of this VM's bans to another VM, which sends its own
// bans in reply if its digest differs.
func (d *Datagrams) SendPoisonDigest(addr string) {
	d.forEachAddr([]string{addr}, func(to netip.AddrPort) {
		d.send(to, &schema.Datagram{Poison: &schema.PoisonNews{Digest: d.poison.Digest()}})
	})
}

// SendReports sends reports of upstreams' notices to VMs.
func (d *Datagrams) SendReports(addrs []string, list []balance.Report) {
	d.forEachAddr(addrs, func(to netip.AddrPort) {
		for rest := list; len(rest) > 0; {
			n := min(itemsPerDatagram, len(rest))
			d.send(to, &schema.Datagram{Upstreams: wire.FromReports(rest[:n])})
			rest = rest[n:]
		}
	})
}

// PoisonSenders returns the VMs that have sent news of such requests within sendersTTL.
func (d *Datagrams) PoisonSenders(now time.Time) []string { return d.senders.get(now) }

// forEachAddr calls f with each valid address.
func (d *Datagrams) forEachAddr(addrs []string, f func(netip.AddrPort)) {
	for _, addr := range addrs {
		if to, err := netip.ParseAddrPort(addr); err == nil {
			f(to)
		}
	}
}

func (d *Datagrams) sendPlacementsTo(to netip.AddrPort, list []balance.Placement) {
	for len(list) > 0 {
		n := min(itemsPerDatagram, len(list))
		d.send(to, &schema.Datagram{Placements: wire.FromPlacements(list[:n])})
		list = list[n:]
	}
}

// sendPoisonTo sends updates to one VM, in as many datagrams as needed.
func (d *Datagrams) sendPoisonTo(to netip.AddrPort, n poison.News) {
	for !n.Empty() {
		d.send(to, &schema.Datagram{Poison: wire.FromPoison(time.Now(), n.Take(itemsPerDatagram))})
	}
}

// count adds the size of a datagram to the counter of its content.
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
		return // Only a string that is not UTF-8 fails; the placement is then known only to this VM.
	}
	d.count(m, len(data))
	// A datagram that cannot be sent counts as lost.
	_, _ = d.conn.WriteToUDPAddrPort(data, to)
}
