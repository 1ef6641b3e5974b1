package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"auburnlatch/core/callers"
	"auburnlatch/core/member"
	"auburnlatch/core/relay"
	"auburnlatch/core/verdict"
	"auburnlatch/io/forward"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/upstream"
)

const (
	// maxRelayTries is how many VMs a request is relayed to, each after the one before has said
	// that it did not run.
	maxRelayTries = 4
	// cutOffRetryAfter is when to retry a request that no VM can serve.
	cutOffRetryAfter = 500 * time.Millisecond
	// rulesWait is how long a relayed request waits for the version of the rules that its sender
	// has: about the time in which it reaches all VMs.
	rulesWait = 300 * time.Millisecond
	rulesTick = 10 * time.Millisecond
)

// requestRelay sends requests through other VMs while this one is cut off from the upstreams, and has
// what is known of requests that others send through this one.
//
// The other VM is sent a request like one of its own callers: it applies the rules, homes, limits
// and bans, and it chooses the upstream and counts the attempts. So whatever is counted over all
// VMs is counted once, and VMs of earlier builds can serve it as well.
type requestRelay struct {
	pool     *upstream.Pool // Connections to other VMs.
	selector relay.Selector
	peers    atomic.Pointer[relayPeers]
	// rules is the highest version of the rules by which another VM handled a request of this one.
	rules atomic.Uint64
	// traffic is that of other VMs' callers.
	traffic       callers.Meter
	sent, refused atomic.Int64
}

// relayPeers are the VMs that requests may be relayed to, as of a time.
type relayPeers struct {
	at  time.Time
	all []relay.Candidate
	// exact are those that treat a request as its header fields say.
	exact []relay.Candidate
	// demand is the traffic of the VMs that are cut off, of this region's and of all.
	demand, total float64
}

// relayPeersTTL is how long relayPeers are used: half a heartbeat.
const relayPeersTTL = heartbeat / 2

// relayPeers returns the VMs that reach upstreams, as far as this VM knows. Only VMs with callers
// are used if there are any, as they share the capacity of cold upstreams.
func (v *VM) relayPeers(now time.Time) *relayPeers {
	if p := v.relaying.peers.Load(); p != nil && now.Sub(p.at) < relayPeersTTL {
		return p
	}
	cfg := v.cfg.Load()
	p := &relayPeers{at: now}
	peers := v.members.Peers(now)
	own := *v.self(now)
	vms := []*member.VM{&own}
	for _, m := range peers {
		if m.State == member.Live && m.VM.Dispatches && !m.VM.Leaving {
			vms = append(vms, m.VM)
		}
	}
	bytes := meanBytes(vms)
	active := v.active(now).vms
	isActive := make(map[string]bool, len(active))
	for _, vm := range active {
		isActive[vm.Name] = true
	}
	var others []relay.Candidate
	for _, vm := range vms {
		region := cfg.Regions[vm.Zone]
		if vm.CutOff {
			p.total += vm.Traffic.Requests
			if region == cfg.Region {
				p.demand += vm.Traffic.Requests
			}
			continue
		}
		if vm.Name == cfg.Name {
			continue
		}
		c := relay.Candidate{Name: vm.Name, Region: region, Addr: vm.Address.Caller, Spare: callers.Spare(vm, bytes)}
		switch {
		case !isActive[vm.Name]:
			others = append(others, c)
		case vm.Relays:
			p.exact = append(p.exact, c)
			p.all = append(p.all, c)
		default:
			p.all = append(p.all, c)
		}
	}
	if len(p.all) == 0 {
		p.all = others
	}
	v.relaying.peers.Store(p)
	return p
}

// meanBytes returns the mean bytes of a request and its response, 0 if unknown.
func meanBytes(vms []*member.VM) float64 {
	var sum member.Traffic
	for _, vm := range vms {
		sum.Requests += vm.Traffic.Requests
		sum.Bytes += vm.Traffic.Bytes
	}
	if sum.Requests == 0 {
		return 0
	}
	return sum.Bytes / sum.Requests
}

// relay sends a request through another VM and returns the response. If the request may have run,
// that VM has used the attempts, and none is left.
func (v *VM) relay(ctx context.Context, req *request, kind forward.RelayKind) (*response, *verdict.Error) {
	last := verdict.New(verdict.NotRun, verdict.ReasonUnreachable, cutOffRetryAfter)
	var tried []string
	for range maxRelayTries {
		now := time.Now()
		if late := v.refuseLate(now, req, ""); late != nil {
			last = late
			break
		}
		peers := v.relayPeers(now)
		list := peers.all
		if kind == forward.Retry {
			list = peers.exact
		}
		c, ok := v.relaying.selector.Choose(now, list, relay.Query{
			ID: req.id, Region: v.cfg.Load().Region, Demand: peers.demand, Total: peers.total, Allowed: v.relayRegions(req), Tried: tried,
		})
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, c.Name)
		r, e, again := v.relayTo(ctx, req, c, kind)
		if e == nil {
			v.relaying.sent.Add(1)
			r.tries = len(tried)
			return r, nil
		}
		v.requests.relayFailed(v, req, c, e)
		last = e
		if !again {
			break
		}
	}
	v.relaying.refused.Add(1)
	return nil, last
}

// relayRegions returns which regions' VMs a request may be relayed to; nil: all. A body stays in
// the region in which its caller sent it, or goes to one that may serve it.
func (v *VM) relayRegions(req *request) func(region string) bool {
	homed := len(req.route.Homes) > 0 || req.team != nil && len(req.team.Homes) > 0
	if !homed || req.length == 0 {
		return nil
	}
	own := v.cfg.Load().Region
	return func(region string) bool {
		return region == own || req.route.IsHome(region) && req.team.IsHome(region)
	}
}

// relayTo sends a request to another VM. again reports whether it may be sent to a further one, as
// it did not run and the reason concerns only this VM.
func (v *VM) relayTo(ctx context.Context, req *request, c relay.Candidate, kind forward.RelayKind) (_ *response, _ *verdict.Error, again bool) {
	resp, err := v.relaying.pool.Send(ctx, v.relayCall(req, c, kind), dialTimeout)
	if err != nil {
		e := verdict.As(err)
		if e.Reason == verdict.ReasonUnreachable || e.Reason == verdict.ReasonBroken {
			v.relaying.selector.Failed(time.Now(), c.Name)
		}
		return nil, e, e.Verdict == verdict.NotRun && ctx.Err() == nil
	}
	if text := resp.Header.Get(forward.HeaderVerdict); text != "" {
		e, again := v.relayRefusal(c, resp)
		return nil, e, again && req.rest == nil && ctx.Err() == nil
	}
	if n, err := strconv.ParseUint(resp.Header.Get(forward.HeaderRules), 10, 64); err == nil {
		v.noteRules(n)
	}
	forward.StripReserved(resp.Header)
	r, err := readResponse(resp)
	if err != nil {
		return nil, truncatedError(ctx, err), false
	}
	r.through = c.Name
	return r, nil, false
}

// relayRefusal returns the error of a VM that did not answer a relayed request with an upstream's
// response, and whether another VM may.
func (v *VM) relayRefusal(c relay.Candidate, resp *http.Response) (_ *verdict.Error, again bool) {
	h := resp.Header
	e := verdict.New(verdict.Parse(h.Get(forward.HeaderVerdict)), verdict.Reason(h.Get(forward.HeaderReason)), upstream.RetryAfter(h))
	discardRefusal(resp)
	if e.Verdict != verdict.NotRun {
		return e, false
	}
	switch e.Reason {
	case verdict.ReasonUnreachable, verdict.ReasonNotReady, verdict.ReasonLeaving, verdict.ReasonBusy:
		v.relaying.selector.Failed(time.Now(), c.Name)
		return e, true
	case verdict.ReasonNoService, verdict.ReasonUnknownKey, verdict.ReasonNotSure:
		// By the rules of this VM it is allowed, so those of the other one are older or newer.
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, notReadyRetryAfter), true
	default:
		return e, false
	}
}

// relayCall returns a request as it is sent to another VM.
func (v *VM) relayCall(req *request, c relay.Candidate, kind forward.RelayKind) *upstream.Call {
	h := v.outgoingHeader(req)
	h.Set(forward.HeaderRelay, string(kind))
	h.Set(forward.HeaderRelayFrom, v.cfg.Load().Name)
	h.Set(forward.HeaderRules, strconv.FormatUint(max(req.rules, v.relaying.rules.Load()), 10))
	return &upstream.Call{
		Target: c.Name, Addr: c.Addr, Method: req.http.Method, URI: req.http.RequestURI, Host: req.http.Host,
		Header: h, Body: req.body, Rest: req.rest, Length: req.length,
	}
}

// noteRules records the version of the rules by which a request was handled. No later request of
// this VM's callers may be handled by an older one.
func (v *VM) noteRules(version uint64) {
	for {
		old := v.relaying.rules.Load()
		if version <= old || v.relaying.rules.CompareAndSwap(old, version) {
			return
		}
	}
}

// parseRelay returns what the header of a request says of its relay, empty if it is not relayed.
func parseRelay(h http.Header) forward.RelayKind {
	kind := forward.RelayKind(h.Get(forward.HeaderRelay))
	if !slices.Contains([]forward.RelayKind{forward.First, forward.Retry}, kind) {
		return ""
	}
	return kind
}

// admitRelayed refuses a relayed request that this VM cannot serve. It waits for the version of
// the rules that the sender has.
func (v *VM) admitRelayed(ctx context.Context, req *request) *verdict.Error {
	if v.cutOff() {
		return verdict.New(verdict.NotRun, verdict.ReasonUnreachable, cutOffRetryAfter)
	}
	if v.overloaded() {
		return verdict.New(verdict.NotRun, verdict.ReasonBusy, shedRetryAfter)
	}
	version, err := strconv.ParseUint(req.http.Header.Get(forward.HeaderRules), 10, 64)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, 0)
	}
	for end := req.started.Add(rulesWait); ; {
		if table := v.table.Load(); table != nil && table.Config.Version >= version {
			return nil
		}
		if time.Now().After(end) || !lifecycle.Sleep(ctx, rulesTick) {
			return verdict.New(verdict.NotRun, verdict.ReasonNotReady, notReadyRetryAfter)
		}
	}
}

// overloaded reports whether this VM has as many requests as it can carry, by its callers and by
// other VMs'.
func (v *VM) overloaded() bool {
	own, others := v.traffic.Average(), v.relaying.traffic.Average()
	sum := own.Requests + others.Requests
	return sum > 0 && sum > callers.Carries(v.cfg.Load().Capacity, (own.Bytes+others.Bytes)/sum)
}

// relayFailed logs that a VM did not serve a relayed request.
func (l *requestLog) relayFailed(v *VM, req *request, c relay.Candidate, e *verdict.Error) {
	if !l.failures.take() {
		return
	}
	f := v.requestFields(time.Now(), req)
	f["Through"], f["Verdict"], f["Reason"] = c.Name, e.Verdict, e.Reason
	if e.Err != nil {
		f["Err"] = e.Err
	}
	l.log.WithFields(f).Info("RelayFailed")
}
