// Package vm is the process of one VM: it connects the decisions of the core
// packages with the clients and servers of the io packages, and runs the
// background loops.
//
// # Usage
//
//	v, err := vm.New(cfg, log)       // Listens on all addresses.
//	err = v.Run(ctx)                 // Serves until ctx ends, then leaves gracefully.
//
// When ctx ends the VM publishes that it is leaving, serves until the TTL of all
// look-ups that name it has passed, finishes the requests in flight, and returns.
package vm

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/claim"
	"auburnlatch/core/dispatch"
	"auburnlatch/core/inventory"
	"auburnlatch/core/member"
	"auburnlatch/core/steer"
	"auburnlatch/io/caller"
	"auburnlatch/io/forward"
	"auburnlatch/io/keepalive"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/operator"
	"auburnlatch/io/peer"
	"auburnlatch/io/platform"
	"auburnlatch/io/quarantine"
	"auburnlatch/io/route"
	"auburnlatch/io/settings"
	"auburnlatch/io/upstream"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	dialTimeout   = 2 * time.Second
)

// VM is one VM's process.
type VM struct {
	cfg         *settings.Settings
	log         *logrus.Entry
	incarnation uint64
	started     time.Time
	heartbeats  atomic.Uint64 // Number of heartbeats so far.
	heartbeatMu sync.Mutex    // Held by heartbeat.

	table  *member.Table
	pool   *dispatch.Pool
	rows   steer.Rows
	meter  steer.Meter
	budget dispatch.Budget
	reach  steer.Reachability
	paths  steer.PathCache // Used by steerLoop only.
	config *config
	health healthRecord

	platform  *platform.Client
	claims    *platform.Claims
	peers     *peer.Client
	peerSrv   *peer.Server
	upstreams *upstream.Client
	links     *upstream.Links
	router    *route.Router
	guard     *quarantine.Guard
	callers   *caller.Server

	lookups    atomic.Pointer[steer.Lookups]
	directory  atomic.Pointer[directory]
	leaving    atomic.Bool
	restored   atomic.Bool  // restoreRows is done.
	forwarded  atomic.Int64 // Requests from other VMs in flight.
	exchanging sync.Map     // Addresses with an exchange in progress.
	background lifecycle.Group
	work       context.Context // Ends with Run.
	cancelWork context.CancelFunc
	listeners  listeners
	refresh    chan struct{} // Wakes steerLoop.
}

// listeners has the listeners of the VM's four addresses.
type listeners struct {
	caller, forward, peer, operator net.Listener
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Option configures a VM.
type Option func(*options)

type options struct{ dial Dial }

// WithDial sets the function that opens all connections of the VM.
func WithDial(dial Dial) Option { return func(o *options) { o.dial = dial } }

// New returns a VM that listens on all of its addresses. Run serves them.
func New(cfg *settings.Settings, log *logrus.Entry, opts ...Option) (*VM, error) {
	o := &options{dial: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	for _, opt := range opts {
		opt(o)
	}
	now := time.Now()
	client := platform.New(cfg.PlatformURL, platform.WithTimeout(cfg.PlatformTimeout), platform.WithDial(platform.Dial(o.dial)))
	toUpstream := upstream.WithDial(upstream.Dial(o.dial))
	v := &VM{
		cfg: cfg, log: log, incarnation: uint64(now.UnixMilli()), started: now,
		pool: dispatch.NewPool(cfg.Name), platform: client, claims: platform.NewClaims(client),
		peers:   peer.NewClient(peer.WithDial(peer.Dial(o.dial))),
		config:  newConfig(platform.NewInventoryStore(client), log),
		refresh: make(chan struct{}, 1),
	}
	v.links = upstream.NewLinks(linkObserver{v})
	v.upstreams = upstream.NewClient(toUpstream, upstream.WithLinks(v.links))
	v.work, v.cancelWork = context.WithCancel(context.Background())
	v.table = member.NewTable(cfg.Name, cfg.Zone, v.incarnation, now, member.WithFailAfter(cfg.Timing.FailAfter))
	v.peerSrv = peer.NewServer(v.table, v.config, &v.rows)
	generations := &generations{}
	v.guard = quarantine.New(cfg.Name, fleetView{v}, platform.NewBans(client), v.upstreams, log, quarantine.WithCrashHandler(generations.next), quarantine.WithLinks(v.links))
	v.router = &route.Router{
		Links: v.links,
		Guard: &routeGuard{Guard: v.guard, generations: generations, work: v.work},
		Self:  cfg.Name, Zone: cfg.Zone, Pool: v.pool, Rows: &v.rows, Meter: &v.meter, Budget: &v.budget, Reach: &v.reach,
		Upstreams: v.upstreams, VMs: forward.NewClient(toUpstream), Directory: v,
	}
	v.callers = caller.New(caller.Config{
		Holder:    claim.Holder{VM: cfg.Name, Incarnation: v.incarnation},
		LookupTTL: cfg.Timing.LookupTTL, MaxInFlight: cfg.Limits.MaxInFlight,
		MaxBodyBytes: cfg.Limits.MaxBodyBytes, MaxStoredAnswer: cfg.Limits.MaxStoredAnswer,
	}, v.router, v.claims, v, log)
	v.refreshLookups(now)
	if err := v.listen(); err != nil {
		return nil, err
	}
	return v, nil
}

func (v *VM) listen() error {
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{
		{v.cfg.CallerAddr, &v.listeners.caller}, {v.cfg.ForwardAddr, &v.listeners.forward},
		{v.cfg.PeerAddr, &v.listeners.peer}, {v.cfg.OperatorAddr, &v.listeners.operator},
	} {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			v.listeners.close()
			return errors.Wrap(err, "listen")
		}
		*l.into = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.forward, l.peer, l.operator} {
		if listener != nil {
			listener.Close()
		}
	}
}

// Run serves until ctx ends, then leaves gracefully.
func (v *VM) Run(ctx context.Context) error {
	live, stop := context.WithCancel(context.Background())
	defer stop()
	defer v.cancelWork()
	operators, err := operator.NewServer(v, v.cfg.TLS)
	if err != nil {
		return err
	}
	callerSrv := v.httpServer(v.callers.Handler())
	forwardSrv := v.httpServer(v.forwardHandler())
	serving := lifecycle.NewServing(4)
	go serving.Run(callerSrv.Serve, v.listeners.caller)
	go serving.Run(forwardSrv.Serve, v.listeners.forward)
	go serving.Run(operators.Serve, v.listeners.operator)
	go serving.Run(func(l net.Listener) error { return v.peerSrv.Serve(live, l) }, v.listeners.peer)
	v.publishMetrics()
	datagrams, err := peer.ListenDatagrams(v.cfg.PeerAddr, nil, v.guard.Ledger())
	if err != nil {
		return err
	}
	v.startLoops(live)
	v.background.Start(live, datagrams.Run)
	v.guard.Start(live, &v.background, datagrams)
	v.log.WithFields(logrus.Fields{
		"Zone": v.cfg.Zone, "CallerAddr": v.cfg.CallerAddr, "OperatorAddr": v.cfg.OperatorAddr,
	}).Info("VMStarted")
	select {
	case err := <-serving.Failed:
		return err
	case <-ctx.Done():
	}
	err = v.leave(callerSrv, forwardSrv)
	serving.Stop()
	v.stopOperators(operators)
	stop()
	v.background.Wait()
	return err
}

// stopOperators stops the operators' interface, once they have the replies to their requests.
func (v *VM) stopOperators(s *operator.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastReplyTimeout)
	defer cancel()
	_ = s.Shutdown(ctx)
}

func (v *VM) httpServer(h http.Handler) *keepalive.Server {
	return &keepalive.Server{HTTP: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: v.cfg.Limits.MaxHeaderBytes,
	}}
}

// forwardHandler serves requests from other VMs and counts those in flight.
func (v *VM) forwardHandler() http.Handler {
	h := forward.Handler(v.router)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.forwarded.Add(1)
		defer v.forwarded.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// Lookups implements caller.Register.
func (v *VM) Lookups() *steer.Lookups { return v.lookups.Load() }

// Service implements caller.Register.
func (v *VM) Service(name string) *inventory.Service { return v.config.Inventory().Service(name) }

// Ready implements caller.Register. A VM is ready when it has received the inventory
// from the platform or a peer.
func (v *VM) Ready() bool { return v.config.Loaded() && v.config.Inventory().Version > 0 }
