package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"

	"auburnlatch/standin/freeport"
)

const (
	templates   = "examples/demo"
	stopTimeout = 20 * time.Second
	maxLogTail  = 4000
)

// vmSpec describes one VM of the demo.
type vmSpec struct{ Name, Zone string }

// targetSpec describes one stand-in upstream of the demo.
type targetSpec struct {
	Name, Service, Zone string
	Slots               int
}

var vms = []vmSpec{
	{"nord-1a", "ro-nord-1"}, {"nord-1b", "ro-nord-1"},
	{"nord-2a", "ro-nord-2"}, {"nord-2b", "ro-nord-2"},
	{"centru-1a", "ro-centru-1"}, {"centru-1b", "ro-centru-1"},
	{"centru-2a", "ro-centru-2"}, {"centru-2b", "ro-centru-2"},
}

// targets returns two upstreams of each service in each zone.
func targets() []targetSpec {
	const each, slots = 2, 4
	var list []targetSpec
	for _, zone := range []string{"ro-nord-1", "ro-nord-2", "ro-centru-1", "ro-centru-2"} {
		for _, service := range []string{"istoric", "programari", "atelier"} {
			for i := range each {
				list = append(list, targetSpec{fmt.Sprintf("%s-%s-%d", service, zone, i+1), service, zone, slots})
			}
		}
	}
	return list
}

// ports allocates free ports by name. Listeners hold all of them until release, so
// that no two names get the same port.
type ports struct {
	listeners map[string]net.Listener
	addrs     map[string]string
}

func newPorts() *ports {
	return &ports{listeners: map[string]net.Listener{}, addrs: map[string]string{}}
}

// addr returns the address of a named port of a process, allocating it if needed.
func (p *ports) addr(process, port string) (string, error) {
	key := process + "/" + port
	if addr, ok := p.addrs[key]; ok {
		return addr, nil
	}
	addr, err := freeport.Addr()
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "no free port")
	}
	p.listeners[key], p.addrs[key] = l, l.Addr().String()
	return p.addrs[key], nil
}

// release closes the listeners so that the processes can listen on the ports.
func (p *ports) release() {
	for _, l := range p.listeners {
		l.Close()
	}
	clear(p.listeners)
}

// process is a process that the demo started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan error
	// killed means that the demo killed it on purpose.
	killed bool
}

// isVM reports whether the process is a VM that the demo has not killed.
func (p *process) isVM() bool { return strings.HasSuffix(p.cmd.Path, "auburnlatchd") && !p.killed }

// run waits for the process to end.
func (p *process) run() { p.done <- p.cmd.Wait() }

// demoSystem is the system that the demo runs: its processes, ports and files.
type demoSystem struct {
	dir, bin  string
	ports     *ports
	processes []*process
	inventory string
}

// start writes the settings and starts all processes.
func (s *demoSystem) start() error {
	var upstreams []string
	for _, t := range targets() {
		addr, err := s.ports.addr(t.Name, "http")
		if err != nil {
			return err
		}
		upstreams = append(upstreams, fmt.Sprintf("%s=%d@%s", t.Name, t.Slots, addr))
	}
	s.inventory = filepath.Join(s.dir, "inventory.jsonc")
	if err := s.render("inventory.jsonc.tmpl", s.inventory, struct{ Targets []targetSpec }{targets()}); err != nil {
		return err
	}
	for _, vm := range vms {
		if err := s.render("vm.jsonc.tmpl", s.settings(vm), vm); err != nil {
			return err
		}
	}
	platform, err := s.ports.addr("platform", "http")
	if err != nil {
		return err
	}
	s.ports.release()
	if err := s.spawn("platform", "standin", "platform", "--addr", platform); err != nil {
		return err
	}
	if err := s.spawn("upstreams", "standin", append([]string{"upstreams"}, upstreams...)...); err != nil {
		return err
	}
	for _, vm := range vms {
		if err := s.spawn(vm.Name, "auburnlatchd", "--settings", s.settings(vm)); err != nil {
			return err
		}
	}
	fmt.Printf("demo: started platform, %d upstreams and %d VMs in %d zones\n", len(upstreams), len(vms), len(vms)/2)
	return nil
}

func (s *demoSystem) settings(vm vmSpec) string { return filepath.Join(s.dir, vm.Name+".jsonc") }

func (s *demoSystem) render(name, to string, data any) error {
	t, err := template.New(name).Funcs(template.FuncMap{"addr": s.ports.addr}).ParseFiles(filepath.Join(templates, name))
	if err != nil {
		return errors.Wrap(err, name)
	}
	var out bytes.Buffer
	if err := t.Execute(&out, data); err != nil {
		return errors.Wrap(err, name)
	}
	return errors.Wrap(os.WriteFile(to, out.Bytes(), 0o600), name)
}

func (s *demoSystem) spawn(name, program string, args ...string) error {
	p := &process{name: name, cmd: exec.Command(filepath.Join(s.bin, program), args...), log: filepath.Join(s.dir, name+".log"), done: make(chan error, 1)}
	log, err := os.Create(p.log)
	if err != nil {
		return errors.Wrap(err, name)
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	go p.run()
	s.processes = append(s.processes, p)
	return nil
}

// stopVMs stops the VMs gracefully and checks that each exits with status 0.
func (s *demoSystem) stopVMs() error {
	started := time.Now()
	n := 0
	for _, p := range s.processes {
		if p.isVM() {
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				return errors.Wrap(err, p.name)
			}
		}
	}
	for _, p := range s.processes {
		if !p.isVM() {
			continue
		}
		select {
		case err := <-p.done:
			p.done <- err
			if err != nil {
				return errors.Wrapf(err, "VM %s did not exit cleanly", p.name)
			}
			n++
		case <-time.After(stopTimeout):
			return errors.Newf("VM %s did not exit within %v of SIGTERM", p.name, stopTimeout)
		}
	}
	fmt.Printf("demo: %d VMs left gracefully, exit 0, in %v\n", n, time.Since(started).Round(time.Millisecond))
	return nil
}

// killVM kills a VM with SIGKILL.
func (s *demoSystem) killVM(name string) error {
	for _, p := range s.processes {
		if p.name == name {
			p.killed = true
			return errors.Wrap(p.cmd.Process.Kill(), name)
		}
	}
	return errors.Newf("unknown VM %s", name)
}

// stopAll kills the demo's processes that are still running.
func (s *demoSystem) stopAll() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func (s *demoSystem) printLogs() {
	for _, p := range s.processes {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		fmt.Printf("--- %s\n%s\n", p.name, data[max(0, len(data)-maxLogTail):])
	}
}

func (s *demoSystem) printAddresses() {
	vm := vms[0].Name
	callers, operators := s.ports.addrs[vm+"/caller"], s.ports.addrs[vm+"/operator"]
	fmt.Printf(`demo: running until interrupted; try
  curl 'http://%[1]s/auburnlatch/lookup'
  curl -i 'http://%[1]s/istoric/vehicles/CJ-01-ABC'
  curl -i -X POST -H 'Idempotency-Key: k1' -H 'Auburnlatch-Caller: depot-cluj' 'http://%[1]s/programari/slots/17'
  bin/auburnlatch --vm %[2]s status
  bin/auburnlatch --vm %[2]s explain 127.0.0.1 istoric
`, callers, operators)
}
