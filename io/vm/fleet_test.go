package vm

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/inventory"
	"auburnlatch/io/forward"
	"auburnlatch/io/settings"
	"auburnlatch/schema"
	"auburnlatch/standin/freeport"
	"auburnlatch/standin/platform"
	"auburnlatch/standin/upstream"
)

const (
	// waitTimeout bounds the wait for a condition.
	waitTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// fleet is a set of VMs in this process, with stand-ins for the platform and the
// upstreams.
type fleet struct {
	t         testing.TB
	platform  *platform.Platform
	url       string
	upstreams map[string]*upstream.Upstream
	vms       map[string]*runningVM
	inv       *inventory.Inventory
	timing    settings.Timing
}

// fastTiming has intervals of about a tenth of the default ones.
var fastTiming = settings.Timing{
	Heartbeat: 50 * time.Millisecond, FailAfter: 500 * time.Millisecond, JoinHold: 3 * time.Second,
	ConfigPoll: 100 * time.Millisecond, LookupTTL: 200 * time.Millisecond, Probe: 200 * time.Millisecond, StopGrace: waitTimeout,
}

// runningVM is a VM with the means to stop it.
type runningVM struct {
	*VM
	stop  context.CancelFunc
	done  chan error
	links *network
}

// network opens the connections of one VM. An address that is cut refuses new
// connections, and the open ones to it are closed.
type network struct {
	mu   sync.Mutex
	cut  map[string]bool
	open map[net.Conn]string
	// silent makes new connections to an address that is cut hang rather than fail.
	silent bool
}

var errCut = errors.New("network is cut")

func (n *network) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	cut, silent := n.cut[addr], n.silent
	n.mu.Unlock()
	if cut && silent {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	if cut {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.open == nil {
		n.open = map[net.Conn]string{}
	}
	n.open[conn] = addr
	return conn, nil
}

func (n *network) set(cut bool, addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range addrs {
		n.cut[addr] = cut
		for conn, to := range n.open {
			if cut && to == addr {
				conn.Close()
				delete(n.open, conn)
			}
		}
	}
}

// partition cuts the VMs of a zone off from the VMs of all other zones and from the
// platform, or heals the partition.
func (f *fleet) partition(cut bool, zone string) {
	for _, v := range f.vms {
		for _, w := range f.vms {
			if (v.cfg.Zone == zone) != (w.cfg.Zone == zone) {
				v.links.set(cut, w.cfg.PeerAddr, w.cfg.ForwardAddr)
			}
		}
		if v.cfg.Zone == zone {
			v.links.set(cut, strings.TrimPrefix(f.url, "http://"))
		}
	}
}

// kill simulates the crash of a VM: it cuts all connections between the VM
// and the other VMs, the platform and the upstreams.
func (f *fleet) kill(name string) {
	dead := f.vms[name]
	delete(f.vms, name)
	f.t.Cleanup(func() {
		dead.stop()
		<-dead.done
	})
	for _, v := range f.vms {
		v.links.set(true, dead.cfg.PeerAddr, dead.cfg.ForwardAddr)
		dead.links.set(true, v.cfg.PeerAddr, v.cfg.ForwardAddr)
	}
	dead.links.set(true, strings.TrimPrefix(f.url, "http://"))
	for _, t := range f.inv.Targets {
		dead.links.set(true, t.Addr)
	}
}

// newFleet starts a platform and upstreams: two of the service istoric in each
// zone, with four slots each. No VM is started.
func newFleet(t testing.TB, zones ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: platform.New(), upstreams: map[string]*upstream.Upstream{}, vms: map[string]*runningVM{}, timing: fastTiming}
	f.url = f.serve(f.platform)
	ops := []inventory.Op{
		{Region: &inventory.Region{Name: "r"}},
		{Service: &inventory.Service{
			Name: "istoric", MaxShiftPerMinute: 0.5, Timeout: 20 * time.Second, MaxQueueWait: time.Second,
			IdempotentMethods: []string{"GET", "PUT"}, RetryBudget: 0.2, ShedStatuses: []int{503},
		}},
	}
	for _, z := range zones {
		ops = append(ops, inventory.Op{Zone: &inventory.Zone{Name: z, Region: "r"}})
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", z, i)
			f.upstreams[name] = upstream.New(name, 4)
			addr := strings.TrimPrefix(f.serve(f.upstreams[name]), "http://")
			ops = append(ops, inventory.Op{Target: &inventory.Target{
				Name: name, Service: "istoric", Zone: z, Addr: addr, Slots: 4, MaxConnections: 100,
			}})
		}
	}
	inv, err := inventory.New(ops...)
	if err != nil {
		t.Fatal(err)
	}
	f.inv = inv
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	f.t.Cleanup(srv.Close)
	return srv.URL
}

// start starts a VM. Its seeds are the VMs that run already.
func (f *fleet) start(name, zone string) *runningVM {
	f.t.Helper()
	cfg := &settings.Settings{
		Name: name, Zone: zone, PlatformURL: f.url, PlatformTimeout: time.Second,
		Limits: settings.Limits{MaxHeaderBytes: 1 << 16, MaxBodyBytes: 1 << 30, MaxInFlight: 1000, MaxStoredAnswer: 1 << 20},
		Timing: f.timing,
	}
	for _, addr := range []*string{&cfg.CallerAddr, &cfg.ForwardAddr, &cfg.PeerAddr, &cfg.OperatorAddr} {
		*addr = freeAddr(f.t)
	}
	for _, other := range f.vms {
		cfg.Seeds = append(cfg.Seeds, other.cfg.PeerAddr)
	}
	f.platform.SetVM(name, zone, cfg.PeerAddr, false)
	log := logrus.New()
	log.SetOutput(io.Discard)
	links := &network{cut: map[string]bool{}}
	v, err := New(cfg, log.WithField("VM", name), WithDial(links.dial))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningVM{VM: v, stop: stop, done: make(chan error, 1), links: links}
	f.vms[name] = r
	go func() { r.done <- v.Run(ctx) }()
	return r
}

// vmSpec is a VM to start.
type vmSpec struct{ name, zone string }

// startServing starts VMs, applies the fleet's inventory through the first one, and
// returns it when all slots are in force and every VM serves.
func (f *fleet) startServing(vms ...vmSpec) *runningVM {
	f.t.Helper()
	var first *runningVM
	for _, vm := range vms {
		v := f.start(vm.name, vm.zone)
		if first == nil {
			first = v
		}
	}
	f.apply(first)
	f.waitServing()
	return first
}

func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := freeport.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (f *fleet) stopAll() {
	var wg sync.WaitGroup
	for _, v := range f.vms {
		wg.Go(func() {
			v.stop()
			<-v.done
		})
	}
	wg.Wait()
}

// leave stops one VM gracefully and returns what its Run returned.
func (f *fleet) leave(name string) error {
	v := f.vms[name]
	delete(f.vms, name)
	v.stop()
	return <-v.done
}

// apply makes the fleet's inventory the newest version through a VM, and waits
// until all VMs have it.
func (f *fleet) apply(through *runningVM) {
	f.t.Helper()
	change := inventory.Change{ID: "first", Ops: inventory.Diff(&inventory.Inventory{}, f.inv)}
	if _, err := through.Accept(context.Background(), change, false); err != nil {
		f.t.Fatal(err)
	}
	f.waitFor("the inventory is in force everywhere", func() bool { return f.allAt(1) })
}

// allAt reports whether all VMs have at least this version of the inventory.
func (f *fleet) allAt(version uint64) bool {
	for _, v := range f.vms {
		if v.Inventory().Version < version {
			return false
		}
	}
	return true
}

// waitServing waits until all slots of the upstreams are in force and every VM
// serves.
func (f *fleet) waitServing() {
	f.t.Helper()
	f.waitFor("all slots are in force", func() bool {
		inForce := map[string]int{}
		for _, v := range f.vms {
			for _, t := range v.pool.Targets() {
				inForce[t.Target] += t.InForce
			}
		}
		for name := range f.upstreams {
			if inForce[name] != 4 {
				return false
			}
		}
		return true
	})
	f.waitFor("a read is served by every VM", func() bool {
		for _, v := range f.vms {
			if resp, _ := f.get(v, "/istoric/x"); resp == nil || resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// waitFor waits until ok returns true. It fails the test after waitTimeout.
func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached within %v: %s", waitTimeout, what)
		}
		<-time.After(pollInterval)
	}
}

// get reads through a VM. The response is nil if it was not received completely.
func (f *fleet) get(v *runningVM, path string) (*http.Response, string) {
	return f.send(v, http.MethodGet, path, http.NoBody, nil)
}

func (f *fleet) send(v *runningVM, method, path string, body io.Reader, header map[string]string) (*http.Response, string) {
	req, err := http.NewRequest(method, "http://"+v.cfg.CallerAddr+path, body)
	if err != nil {
		f.t.Error(err)
		return nil, ""
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err.Error()
	}
	return resp, string(data)
}

// keyed returns the header fields of a booking.
func keyed(key string) map[string]string {
	return map[string]string{"Idempotency-Key": key, forward.HeaderCaller: "depot"}
}

// runs returns how often the booking with an idempotency key ran at upstreams.
func (f *fleet) runs(key string) (n uint64) {
	for _, u := range f.upstreams {
		n += u.Runs(key)
	}
	return n
}

// setFaults sets the faults of all upstreams whose name starts with zone.
func (f *fleet) setFaults(zone string, faults *schema.UpstreamFaults) {
	for name, u := range f.upstreams {
		if strings.HasPrefix(name, zone) {
			u.SetFaults(proto.CloneOf(faults))
		}
	}
}

// slowBody is the body of an upload whose parts the test sends, until it closes
// the channel.
type slowBody struct {
	parts chan []byte
	rest  bytes.Reader
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest.Len() == 0 {
		part, ok := <-b.parts
		if !ok {
			return 0, io.EOF
		}
		b.rest.Reset(part)
	}
	return b.rest.Read(p)
}
