package entry

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/member"
	"auburnlatch/core/poison"
	"auburnlatch/core/target"
	"auburnlatch/core/verdict"
	"auburnlatch/io/quarantine"
)

// identity returns the identity by which a retried request is recognized: at another VM,
// with another ID, from another address of its caller.
func (v *VM) identity(req *request) *poison.Request {
	r := req.http
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	c := poison.Content{Method: r.Method, Host: strings.ToLower(host), URI: r.RequestURI, Body: req.body}
	if v.protocol.Caller != nil {
		c.Caller = v.protocol.Caller(r)
	}
	return poison.NewRequest(c)
}

// acquire chooses an upstream. For a trial it avoids those at which another suspect is in flight.
func (v *VM) acquire(req *request, tried []string, trial *poison.Trial) (balance.Lease, error) {
	avoid := trial.Avoid(time.Now())
	lease, err := v.choose(req, tried, avoid)
	if err != nil && len(avoid) > 0 && !trial.Alone {
		lease, err = v.choose(req, tried, nil)
	}
	if err == nil {
		trial.At(lease.Target.ID)
	}
	return lease, err
}

// unanswered records that an upstream did not respond to a request.
func (v *VM) unanswered(req *request, lease balance.Lease, began time.Time, e *verdict.Error) {
	sent := quarantine.Attempt{Upstream: upstreamOf(lease.Target), Began: began}
	sent.Lapsed = !v.targets.has(sent.Upstream.ID)
	v.guard.Unanswered(v.workCtx, time.Now(), req.identity, sent, e)
}

func upstreamOf(t *target.Target) quarantine.Upstream {
	return quarantine.Upstream{ID: t.Incarnation(), Addr: t.Addr}
}

func upstreamsOf(list []*target.Target) []quarantine.Upstream {
	out := make([]quarantine.Upstream, 0, len(list))
	for _, t := range list {
		out = append(out, upstreamOf(t))
	}
	return out
}

// streamedResponse is the part of a response that is read while it is passed on.
type streamedResponse struct {
	io.ReadCloser
	vm    *VM
	req   *request
	lease balance.Lease
	began time.Time
	done  bool
}

// Read implements io.Reader. It records an upstream that ends before its response does.
func (r *streamedResponse) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err == nil || r.done {
		return n, err
	}
	r.done = true
	if err == io.EOF {
		r.vm.guard.Served(r.vm.workCtx, time.Now(), r.req.identity, quarantine.Attempt{Upstream: upstreamOf(r.lease.Target), Began: r.began})
	} else {
		r.vm.unanswered(r.req, r.lease, r.began, truncatedError(r.req.http.Context(), err))
	}
	return n, err
}

// fleet is the quarantine's view of the other VMs.
type fleet struct{ *VM }

// Peers implements quarantine.Fleet.
func (f fleet) Peers(now time.Time) []string {
	return f.heardAddrs(now, func(s member.State) bool { return s != member.Gone })
}

// Departed implements quarantine.Fleet.
func (f fleet) Departed(now time.Time) []string {
	return f.heardAddrs(now, func(s member.State) bool { return s == member.Gone })
}

// heardAddrs returns the addresses of the peers heard from within silentRetention that are in some
// state.
func (f fleet) heardAddrs(now time.Time, wanted func(member.State) bool) []string {
	var addrs []string
	for _, m := range f.members.Peers(now) {
		if wanted(m.State) && now.Sub(m.Heard) < silentRetention {
			addrs = append(addrs, m.VM.Address.Peer)
		}
	}
	return addrs
}

// Live implements quarantine.Fleet.
func (f fleet) Live(now time.Time) []string { return f.members.Live(now) }

// ZoneLive implements quarantine.Fleet.
func (f fleet) ZoneLive(now time.Time) []string {
	return append(namesOf(f.zonePeers(now)), f.cfg.Load().Name)
}

// SeesAllZones implements quarantine.Fleet.
func (f fleet) SeesAllZones(now time.Time, within time.Duration) bool {
	newest := make(map[string]time.Duration)
	for _, m := range f.members.Peers(now) {
		age := now.Sub(m.Heard)
		if m.State == member.Gone || age >= silentRetention {
			continue
		}
		if old, ok := newest[m.VM.Zone]; !ok || age < old {
			newest[m.VM.Zone] = age
		}
	}
	for _, age := range newest {
		if age > within {
			return false
		}
	}
	return len(newest) > 0
}

// countedBanStore is the platform, with its calls counted.
type countedBanStore struct{ *VM }

// SaveBans implements quarantine.BanStore.
func (s countedBanStore) SaveBans(ctx context.Context, bans []poison.Ban) error {
	return s.counted(s.platform.SaveBans(ctx, bans))
}

// Bans implements quarantine.BanStore.
func (s countedBanStore) Bans(ctx context.Context) ([]poison.Ban, error) {
	bans, err := s.platform.Bans(ctx)
	return bans, s.counted(err)
}

// DeleteBans implements quarantine.BanStore.
func (s countedBanStore) DeleteBans(ctx context.Context, prints []poison.Print) error {
	return s.counted(s.platform.DeleteBans(ctx, prints))
}

// Era implements quarantine.BanStore.
func (s countedBanStore) Era() uint64 { return s.era() }

func (s countedBanStore) counted(err error) error {
	s.counts.platformCalls.Add(1)
	if err != nil {
		s.counts.platformErrors.Add(1)
	}
	return err
}
