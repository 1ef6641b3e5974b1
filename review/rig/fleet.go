package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"auburnlatch/standin/freeport"
)

// healthPath is the path of the upstreams' health checks.
const healthPath = "/healthz"

// settingsFileEnv names the settings file of a daemon, and daemonPath is where the build of the
// deploy file puts the program.
const (
	settingsFileEnv = "AUBURNLATCH_NODE_FILE"
	daemonPath      = "target/auburnlatch-entry"
)

// zones are the availability zones of the stand-in deployment and their regions. The store stands
// in storeRegion.
var zones = map[string]string{"nord-a": "ro-nord", "centru-a": "ro-centru", "sud-a": "ro-sud", "nord-b": "ro-nord", "centru-b": "ro-centru", "sud-b": "ro-sud"}

// zoneNames are the zones in a fixed order.
var zoneNames = []string{"nord-a", "centru-a", "sud-a", "nord-b", "centru-b", "sud-b"}

const (
	storeRegion = "ro-nord"
	// nearTrip and farTrip are how long a message takes one way between a VM and the store.
	nearTrip = 1400 * time.Microsecond
	farTrip  = 55 * time.Millisecond
)

// bounds are the bounds of the stand-in deployment, as on the sheet of a small one.
type bounds struct{ grace, drain, ttl, beat time.Duration }

// vm is one entry VM.
type vm struct {
	name, zone                    string
	front, ready, directory, peer string
	settings, log, store          string
	first                         bool
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	exited                        chan struct{}
	// stops are the times of SIGTERM.
	stops          []time.Time
	unexpectedEnds int
	ending         bool
}

// processes are the daemons that were started. It is safe for concurrent use.
type processes struct {
	mu    sync.Mutex
	list  []*exec.Cmd
	ended bool
}

// daemons are all daemons of the run.
var daemons processes

// start starts a daemon, unless the run has ended.
func (p *processes) start(cmd *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return errors.New("the run has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.list = append(p.list, cmd)
	return nil
}

// kill kills all daemons.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, cmd := range p.list {
		_ = cmd.Process.Kill() // Fails only if it has exited.
	}
}

// fleet is the stand-in deployment: the store, the upstreams and the VMs.
type fleet struct {
	dir     string
	bounds  bounds
	store   *store
	runs    *runs
	vms     []*vm
	targets []*target
}

func newFleet(b bounds) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, bounds: b, store: newStore(), runs: &runs{byID: make(map[string][]*run)}}
	return f, nil
}

// addVM adds a VM to the fleet without starting it.
func (f *fleet) addVM(zone string) error {
	n := 1
	for _, other := range f.vms {
		if other.zone == zone {
			n++
		}
	}
	v := &vm{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, first: true}
	for _, addr := range []*string{&v.front, &v.ready, &v.directory, &v.peer} {
		var err error
		if *addr, err = freeport.Addr(); err != nil {
			return err
		}
	}
	trip := farTrip
	if zones[zone] == storeRegion {
		trip = nearTrip
	}
	var err error
	if v.store, err = f.serveStore(trip); err != nil {
		return err
	}
	v.settings, v.log = filepath.Join(f.dir, v.name+".jsonc"), filepath.Join(f.dir, v.name+".log")
	f.vms = append(f.vms, v)
	return nil
}

// serveStore serves the store to one VM, whose messages to it take trip one way.
func (f *fleet) serveStore(trip time.Duration) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: f.store.handler(trip)}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// seeds returns the addresses that the VMs are told at their start.
func (f *fleet) seeds() []string {
	var list []string
	for _, v := range f.vms[:min(3, len(f.vms))] {
		list = append(list, v.peer)
	}
	return list
}

// writeSettings writes a VM's settings file, with the fields of the deploy file's template.
func (f *fleet) writeSettings(v *vm) error {
	b := f.bounds
	data, err := json.Marshal(map[string]any{
		"Name": v.name, "Zone": v.zone, "Region": zones[v.zone], "FrontAddr": v.front, "ReadyAddr": v.ready, "DirectoryAddr": v.directory, "PeerAddr": v.peer,
		"Seeds": f.seeds(), "FirstStart": v.first, "Regions": zones, "Platform": map[string]string{"Addr": v.store},
		"Capacity": map[string]float64{"LinkMbps": 1000, "CpuShare": 0.32, "Cores": 1},
		"Bounds": map[string]any{
			"StopGrace": b.grace.String(), "RetryRatio": 0.2, "RetryWindow": "10s", "RetryExtra": 60, "Heartbeat": b.beat.String(),
			"LeaveWithin": b.drain.String(), "LookupTtl": b.ttl.String(),
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, data, 0o600)
}

// start starts a VM's daemon.
func (f *fleet) start(v *vm) error {
	if err := f.writeSettings(v); err != nil {
		return err
	}
	v.first = false
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonPath)
	cmd.Env = append(os.Environ(), settingsFileEnv+"="+v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := daemons.start(cmd); err != nil {
		return err
	}
	out.Close()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.exited, v.ending = cmd, make(chan struct{}), false
	go v.wait(cmd, v.exited)
	return nil
}

// wait waits for a daemon to exit.
func (v *vm) wait(cmd *exec.Cmd, exited chan<- struct{}) {
	_ = cmd.Wait() // The exit status follows from the signals sent.
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.ending {
		v.unexpectedEnds++
	}
	close(exited)
}

// signal sends a signal to a VM's daemon. ends says that the daemon is expected to exit.
func (v *vm) signal(s syscall.Signal, ends bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ending = v.ending || ends
	_ = v.cmd.Process.Signal(s) // Fails only if the process has exited.
}

// terminate sends SIGTERM, and SIGKILL after the grace time, as the platform does. It returns when
// the daemon has exited.
func (f *fleet) terminate(v *vm) {
	v.mu.Lock()
	exited := v.exited
	v.stops = append(v.stops, time.Now())
	v.mu.Unlock()
	v.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(f.bounds.grace):
		v.signal(syscall.SIGKILL, true)
		<-exited
	}
}

// awaitReady waits until a VM says that it is ready.
func (v *vm) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if resp, err := client.Get("http://" + v.ready + "/v1/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", v.name, ctx.Err())
}

// startAll starts all VMs and waits until they are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	var errs []error
	for _, v := range f.vms {
		errs = append(errs, v.awaitReady(ctx))
	}
	return errors.Join(errs...)
}

// stop kills the daemons and removes the files.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.cmd == nil {
			continue
		}
		v.signal(syscall.SIGCONT, false)
		v.signal(syscall.SIGKILL, true)
		<-v.exited
	}
	for _, t := range f.targets {
		t.server.Close()
	}
	os.RemoveAll(f.dir)
}
