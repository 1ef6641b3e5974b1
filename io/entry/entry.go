package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/admission"
	"auburnlatch/core/balance"
	"auburnlatch/core/callers"
	"auburnlatch/core/member"
	"auburnlatch/core/ratelimit"
	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/core/warmth"
	"auburnlatch/io/keepalive"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
	"auburnlatch/io/quarantine"
	"auburnlatch/io/settings"
	"auburnlatch/io/tcp"
	"auburnlatch/io/upstream"
)

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// maxHeader is in bytes. Where the rules allow less, larger headers are refused later.
	maxHeader = 64 << 10
	// failAfter is the time without a heartbeat after which another VM is no longer
	// returned to callers: six heartbeats, so that a lost one does not matter.
	failAfter = 3 * time.Second
)

// VM is the process of one entry VM.
type VM struct {
	cfg      atomic.Pointer[settings.Entry]
	platform Platform
	protocol Protocol
	log      *logrus.Entry
	requests requestLog
	counts   counters
	traffic  callers.Meter
	lookups  lookups

	started         time.Time
	members         *member.Table
	replicas        peer.Replicas
	peerClient      *peer.Client
	sent            peer.SentCounter // The bytes that this VM sent to others.
	registeredAddrs addresses
	rtt             atomic.Int64 // See platformRTT.
	// rttKnown is closed when rtt is set.
	rttKnown chan struct{}

	warmth       warmth.Tracker
	registry     target.Registry // Used by applyLoop only.
	decoded      decoded         // Used by applyLoop only.
	balancer     *balance.Balancer
	retries      balance.RetryBudget
	limits       ratelimit.Limiter
	admission    admission.Controller
	collector    ratelimit.Collector
	appointments appointments
	activeAddrs  atomic.Pointer[[]string] // See findActiveAddrs.
	activeCache  atomic.Pointer[activeVMs]
	activeInputs activeInputs // Used by heartbeatLoop only: the inputs of activeCache.
	activity     activity     // Used by heartbeatLoop only.
	// readerCache is used by cachedReaderAddrs.
	readerCache   atomic.Pointer[cachedReaders]
	peerAddrCache atomic.Pointer[peerAddrSet]
	upstreams     *upstream.Pool
	links         *upstream.Links
	relaying      requestRelay
	seconds       secondSends
	splitLog      splitLog
	guard         *quarantine.Guard
	table         atomic.Pointer[route.Table]
	applied       atomic.Pointer[appliedRules]
	targets       registered

	leaving        atomic.Bool
	stop           stopEnd
	announced      atomic.Bool     // The platform may have this VM's address.
	workCtx        context.Context // Canceled when a stopping VM cancels the remaining requests.
	cancelWork     context.CancelFunc
	inFlight       atomic.Int64
	pipelinedCount atomic.Int64    // Pipelined requests that are processed before their turn.
	idle           keepalive.Conns // The connections of callers.
	closer         *tcp.Closer     // Closes the connections of callers.
	ahead          aheadBuffer
	loaded         chan struct{} // Closed when rules and upstreams are known.
	changed        chan struct{}
	toPush         chan struct{}
	newPlacements  chan struct{} // Signals new placements of this VM.
	exchanging     sync.Map      // Addresses with which an exchange is in progress.
	background     lifecycle.Group
}

// Option configures a VM.
type Option func(*options)

type options struct{ upstreams []upstream.Option }

// WithUpstreamDial sets the function that opens connections to upstreams.
func WithUpstreamDial(dial upstream.Dial) Option {
	return func(o *options) { o.upstreams = append(o.upstreams, upstream.WithDial(dial)) }
}

// New returns a VM. It opens no connections or files before Run.
func New(cfg *settings.Entry, p Platform, protocol Protocol, log *logrus.Entry, opts ...Option) *VM {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	now := time.Now()
	v := &VM{
		platform: p, protocol: protocol, log: log, started: now,
		members:   member.NewTable(cfg.Name, cfg.Zone, uint64(now.UnixNano()), now, member.WithReports(), member.WithFailAfter(failAfter)),
		replicas:  peer.Replicas{},
		upstreams: upstream.NewPool(o.upstreams...), rttKnown: make(chan struct{}),
		loaded:        make(chan struct{}),
		changed:       make(chan struct{}, 1),
		toPush:        make(chan struct{}, 1),
		newPlacements: make(chan struct{}, 1),
	}
	for _, name := range []string{TableRules, TableTargets} {
		opts := []replica.Option{replica.WithMeaning(func(key string, value []byte) []byte { return p.Meaning(name, key, value) })}
		if name == TableTargets {
			opts = append(opts, replica.WithVerified(v.warmth.Verified))
		}
		v.replicas[name] = replica.NewTable(name, func(key string, a, b []byte) bool { return p.Same(name, key, a, b) }, opts...)
	}
	v.links = upstream.NewLinks(linkObserver{v})
	v.relaying.pool = upstream.NewPool()
	v.peerClient = peer.NewClient(peer.WithExchangesCounted(&v.sent))
	v.balancer = balance.New(cfg.Name, cfg.Region, cfg.Zone, balance.WithNews(v.signalPlacements))
	guardOpts := []quarantine.Option{quarantine.WithLinks(v.links)}
	if cfg.FirstStart {
		guardOpts = append(guardOpts, quarantine.WithFirstStart())
		v.limits.AssumeNoPriorTraffic()
	}
	v.guard = quarantine.New(cfg.Name, fleet{v}, countedBanStore{v}, v.upstreams, log, guardOpts...)
	v.requests.log = log
	v.closer = tcp.NewCloser(tcp.WithEnded(v.connClosed))
	v.workCtx, v.cancelWork = context.WithCancel(context.Background())
	v.stop.begun, v.stop.cancel = context.WithCancel(context.Background())
	v.Configure(cfg)
	return v
}

// Configure applies new settings. Addresses stay as they were when the process started.
func (v *VM) Configure(cfg *settings.Entry) {
	v.cfg.Store(cfg)
	v.upstreams.SetMaxHeader(cfg.ResponseHeaderBytes)
	v.relaying.pool.SetMaxHeader(cfg.ResponseHeaderBytes)
	v.retries.SetBounds(cfg.RetryRatio, cfg.RetryWindow, cfg.RetryExtra)
	v.limits.SetBounds(cfg.Limits)
	v.collector.SetBounds(cfg.Limits)
	v.balancer.SetPaceUse(paceUse(cfg.Load.Pace))
	v.warmth.SetBounds(cfg.UpstreamHeartbeat+registerMargin, v.staleAge()+callTimeout)
}

// Run serves until ctx ends, then shuts down gracefully. further has the handlers for
// additional addresses, such as the one for look-ups.
func (v *VM) Run(ctx context.Context, further map[string]http.Handler) error {
	cfg := v.cfg.Load()
	live, stop := context.WithCancel(context.Background())
	defer stop()
	front := &http.Server{
		Handler: v, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeader, ConnState: v.idle.ConnState, ConnContext: connContext, ErrorLog: nil,
	}
	var servers []*keepalive.Server
	serving := lifecycle.NewServing(len(further) + 2)
	listener, err := net.Listen("tcp", cfg.FrontAddr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go serving.Run(front.Serve, callerListener{listener, v, v.closer})
	for addr, h := range further {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		srv := &keepalive.Server{HTTP: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute}}
		servers = append(servers, srv)
		go serving.Run(srv.Serve, l)
	}
	control, err := net.Listen("tcp", cfg.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	sync := peer.NewReplicaServer(v.members, v.replicas, v.signalChange, &v.sent)
	go serving.Run(func(l net.Listener) error { return sync.Serve(live, l) }, control)
	datagrams, err := peer.ListenDatagrams(cfg.PeerAddr, v.balancer, v.guard.Ledger(), peer.WithLimits(limitTable{v}), peer.WithUpstreams(upstreamTable{v}), peer.WithDatagramsCounted(&v.sent))
	if err != nil {
		return err
	}
	v.startLoops(live, datagrams)
	v.log.WithFields(logrus.Fields{"Zone": cfg.Zone, "Region": cfg.Region, "FrontAddr": cfg.FrontAddr}).Info("VMStarted")
	select {
	case err := <-serving.Failed:
		return err
	case <-ctx.Done():
	}
	serving.Stop()
	v.leave(listener, servers)
	stop()
	v.log.Info("VMStopped")
	return nil
}

// Ready implements Directory. A VM without rules or the table of upstreams is not ready,
// nor is one that is leaving or will soon be unable to verify keys.
func (v *VM) Ready() bool { return v.serving() && !v.lapsing() }

// serving reports whether this VM takes requests, possibly only those that need no key.
func (v *VM) serving() bool {
	return v.table.Load() != nil && v.targets.known() && !v.leaving.Load()
}

// startLoops starts all background loops.
func (v *VM) startLoops(ctx context.Context, datagrams *peer.Datagrams) {
	for _, loop := range []func(context.Context){
		v.rttLoop, v.heartbeatLoop, v.links.Loop, v.rulesLoop, v.targetsLoop, v.applyLoop, v.addressLoop, v.requests.loop, v.sentLoop, (&retryLog{vm: v}).loop, v.splitLogLoop,
		(&pusher{vm: v}).loop, (&placementPublisher{vm: v, peer: datagrams}).loop, (&demandPublisher{vm: v, peer: datagrams}).loop, (&noticePublisher{vm: v, peer: datagrams}).loop, datagrams.Run,
	} {
		v.background.Start(ctx, loop)
	}
	v.guard.Start(ctx, &v.background, datagrams)
}
