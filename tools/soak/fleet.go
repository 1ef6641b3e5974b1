package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"auburnlatch/platform/standin"
	"auburnlatch/standin/freeport"
)

// process is a child process that can be restarted.
type process struct {
	name string
	args func() []string
	out  io.Writer

	starts atomic.Int32

	mu      sync.Mutex
	cmd     *exec.Cmd
	started []time.Time // By start.
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	args := p.args()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = p.out, p.out
	p.cmd = cmd
	p.started = append(p.started, time.Now())
	p.starts.Add(1)
	return startIgnoringHangup(cmd)
}

// pid returns the ID of the process that was last started.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal sends a signal to the process that was last started.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // Fails only if the process has exited.
}

// wait waits for the process to exit.
func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Wait() // The exit status follows from the signals sent.
}

// restart sends a signal, waits for the process to exit and starts it again.
func (p *process) restart(s os.Signal) error { return p.restartAfter(s, 0) }

// restartAfter is restart with a pause before the start.
func (p *process) restartAfter(s os.Signal, pause time.Duration) error {
	p.signal(s)
	p.wait()
	<-time.After(pause)
	return p.start()
}

// vm is one entry VM.
type vm struct {
	*process
	front, directory string
	store            *proxy
	logs             *lockedBuffer
}

// upstreamProc is one upstream process. Each start is a new incarnation, with an ID of its own
// unless upstreams turn cold.
type upstreamProc struct {
	*process
	path, store *proxy // From VMs, and to the store.
	listen      string
	incarnation int
}

// fleet is the set of all processes of a seed.
type fleet struct {
	// returns says that refused callers get appointments, and come back when they are told.
	returns      bool
	dir          string
	storeAddr    string
	store        *process
	vms          []*vm
	upstreams    []*upstreamProc
	ledger       *ledger
	exemptions   exemptions
	poisons      atomic.Int64 // Number of poison requests sent.
	acceptAlways bool         // See proxy.acceptAlways.
	objects      bool         // Requests concern an object of their caller.
	homes        bool         // Some requests go to a route with a home.
	kills        bool         // Callers send at a constant rate, mostly requests that may be retried.
	splits       bool         // Some requests go to a route that is split between two services.
	shapes       bool         // Only planned work happens.
	colds        bool         // Upstreams turn cold, and start again under their IDs.
	links        links
	called       atomic.Pointer[[]int] // The VMs that callers use; nil: all.

	mu       sync.Mutex
	versions []version

	orders    sync.Mutex      // Held while the operator writes.
	evacuated map[string]bool // The zones that have been evacuated: whether they still are.
}

func addrs(n int) ([]string, error) {
	list := make([]string, n)
	for i := range list {
		var err error
		if list[i], err = freeport.Addr(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// zoneOf distributes processes over two regions with two zones each.
func zoneOf(i int) (zone, region string) {
	return []string{"n-1", "n-2", "s-1", "s-2"}[i%4], []string{"n", "n", "s", "s"}[i%4]
}

func startFleet(ctx context.Context, c *runCmd) (*fleet, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, ledger: newLedger(), acceptAlways: c.Taking, returns: c.Returns, objects: c.Restores || c.Cuts, homes: c.Cuts, kills: c.Kills, splits: c.Weights, shapes: c.Shapes, colds: c.Colds, evacuated: make(map[string]bool)}
	if f.storeAddr, err = freeport.Addr(); err != nil {
		return nil, err
	}
	f.store = &process{name: "store", out: io.Discard, args: func() []string { return []string{os.Args[0], "store", "--addr", f.storeAddr} }}
	if err := f.store.start(); err != nil {
		return nil, err
	}
	if err := f.waitForStore(ctx); err != nil {
		return nil, err
	}
	for i := range c.Upstreams {
		if err := f.addUpstream(i, "s"); err != nil {
			return nil, err
		}
	}
	if f.splits {
		f.ledger.otherFrom = c.Upstreams
		for i := range otherUpstreams {
			if err := f.addUpstream(c.Upstreams+i, "t"); err != nil {
				return nil, err
			}
		}
	}
	for i := range c.VMs {
		if err := f.addVM(i, c.Daemon); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) waitForStore(ctx context.Context) error {
	for {
		if err := f.setConfig(); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (f *fleet) addUpstream(i int, service string) error {
	listen, err := freeport.Addr()
	if err != nil {
		return err
	}
	path, err := startProxy(listen, f.acceptAlways, &f.links)
	if err != nil {
		return err
	}
	toStore, err := startProxy(f.storeAddr, false, nil)
	if err != nil {
		return err
	}
	u := &upstreamProc{path: path, store: toStore, listen: listen}
	zone, _ := zoneOf(i)
	u.process = &process{name: fmt.Sprint("upstream-", i), out: &lineWriter{take: f.ledger.parseLine}, args: func() []string {
		u.incarnation++
		id, starts := u.incarnation, []string(nil)
		if f.colds {
			if starts = []string{"--same-id"}; id > 1 {
				starts = append(starts, "--cold", standin.ColdStart.String())
			}
			id = 1
		}
		return append([]string{
			os.Args[0], "upstream", "--id", fmt.Sprintf("i-%d-%d", i, id), "--service", service, "--zone", zone, "--addr", path.addr(),
			"--listen", listen, "--store", toStore.addr(), "--cut-share", "0.01", "--fail-share", "0.01",
		}, starts...)
	}}
	f.upstreams = append(f.upstreams, u)
	return u.start()
}

func (f *fleet) addVM(i int, daemon string) error {
	a, err := addrs(4)
	if err != nil {
		return err
	}
	toStore, err := startProxy(f.storeAddr, false, nil)
	if err != nil {
		return err
	}
	zone, region := zoneOf(i)
	name := fmt.Sprint("vm-", i)
	path := filepath.Join(f.dir, name+".jsonc")
	text := fmt.Sprintf(`{"Name":%q,"Zone":%q,"Region":%q,"Regions":{"n-1":"n","n-2":"n","s-1":"s","s-2":"s"},
"FrontAddr":%q,"ReadyAddr":%q,"DirectoryAddr":%q,"PeerAddr":%q,"Platform":{"Addr":%q},%s
"Bounds":{"StopGrace":"3s","RetryRatio":%g,"RetryWindow":"%v","RetryExtra":%d,"Heartbeat":"500ms","LeaveWithin":"2.5s"}}`,
		name, zone, region, a[0], a[1], a[2], a[3], toStore.addr(), f.loadSettings(), retryRatio, retryWindow, retryExtra)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	v := &vm{front: a[0], directory: a[2], store: toStore, logs: &lockedBuffer{}}
	v.process = &process{name: name, out: v.logs, args: func() []string { return []string{daemon, "--settings", path} }}
	f.vms = append(f.vms, v)
	if err := v.start(); err != nil {
		return err
	}
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	f.links.vms = f.vms
	return nil
}

// loadSettings returns the part of the settings that turns appointments on. Without it, daemons of
// earlier builds can be played as well.
func (f *fleet) loadSettings() string {
	if f.returns {
		return `"Load":{"Admission":"On"},`
	}
	return ""
}

// setConfig writes the next version of the rules. If it fails, the version may have been
// written nevertheless, so its number is not reused.
func (f *fleet) setConfig() error {
	f.orders.Lock()
	defer f.orders.Unlock()
	f.mu.Lock()
	f.versions = append(f.versions, version{number: len(f.versions) + 1, started: time.Now()})
	f.mu.Unlock()
	return f.writeConfig()
}

// writeConfig writes the newest version of the rules.
func (f *fleet) writeConfig() error {
	newest := len(f.versionsSoFar())
	err := f.operate(func(o standin.Operator) error {
		if f.splits {
			w := weightsOf(newest)
			return o.ConfigureSplit(newest, w[0], w[1])
		}
		return o.Configure(newest)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[newest-1].finished = time.Now()
	return err
}

// setEvacuated begins or ends the evacuation of a zone.
func (f *fleet) setEvacuated(zone string, on bool) error {
	f.orders.Lock()
	defer f.orders.Unlock()
	f.evacuated[zone] = on
	return f.writeEvacuation(zone)
}

func (f *fleet) writeEvacuation(zone string) error {
	order := standin.Operator.EndEvacuation
	if f.evacuated[zone] {
		order = standin.Operator.Evacuate
	}
	return f.operate(func(o standin.Operator) error { return order(o, zone) })
}

// rewrite writes again what a restored store may have lost.
func (f *fleet) rewrite() error {
	f.orders.Lock()
	defer f.orders.Unlock()
	err := f.writeConfig()
	for zone := range f.evacuated {
		err = errors.Join(err, f.writeEvacuation(zone))
	}
	return err
}

const (
	// operateTimeout bounds how long an order is repeated while the store is away.
	operateTimeout  = 15 * time.Second
	operateInterval = 30 * time.Millisecond
)

// operate gives an order until the store accepts it.
func (f *fleet) operate(order func(standin.Operator) error) error {
	for end := time.Now().Add(operateTimeout); ; <-time.After(operateInterval) {
		err := order(standin.Operator{Store: f.storeAddr})
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// versionsSoFar returns the versions of the rules written so far.
func (f *fleet) versionsSoFar() []version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.versions)
}

// unexpectedExits returns the errors with which VMs exited without having been signaled.
func (f *fleet) unexpectedExits() []string {
	var list []string
	for _, v := range f.vms {
		for line := range strings.Lines(v.logs.String()) {
			if strings.Contains(line, "auburnlatch-entry: error:") {
				list = append(list, v.name+" exited unexpectedly: "+strings.TrimSpace(line))
			}
		}
	}
	return list
}

// stop kills the fleet's processes and removes its files.
func (f *fleet) stop() {
	all := []*process{f.store}
	for _, v := range f.vms {
		all = append(all, v.process)
	}
	for _, u := range f.upstreams {
		all = append(all, u.process)
	}
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
	}
	os.RemoveAll(f.dir)
}

// lockedBuffer stores a process's output. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the output so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// lineWriter passes complete lines to take.
type lineWriter struct {
	take func(line string)
	rest []byte
}

func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 {
			return len(p), nil
		}
		w.take(string(w.rest[:i]))
		w.rest = w.rest[i+1:]
	}
}
