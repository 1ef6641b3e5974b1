package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// service and host are the names in the configurations of all cases.
const (
	service = "s"
	host    = "jepu9.example"
)

// world is a small deployment with its stand-ins.
type world struct {
	dir     string
	store   *store
	targets []*target
	vms     []*vm
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
}

// newWorld starts the store. All addresses are of a random loopback network, so that cases that
// run side by side do not meet.
func newWorld(dir string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: tmp, record: record, began: time.Now()}
	net := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	if w.store, err = startStore(net + ".1:8384"); err != nil {
		return nil, err
	}
	cfg := &deployment{
		dir: tmp, regions: map[string]string{"nv-depot": "north-vale", "re-wharf": "river-east", "sd-barn": "south-downs"}, storeAddr: w.store.addr, bootstrap: true,
		bounds: map[string]any{
			"Grace": "6s", "BudgetRatio": 0.2, "BudgetWindow": "10s", "BudgetExtra": 58, "Drain": "2500ms", "ttl_max": "5s",
		},
	}
	for i, zone := range []string{"nv-depot", "re-wharf", "sd-barn"} {
		w.vms = append(w.vms, &vm{name: "edge-" + zone + "-1", zone: zone, region: cfg.regions[zone], ip: fmt.Sprintf("%s.%d", net, 10+i), cfg: cfg})
		cfg.seeds = append(cfg.seeds, w.vms[i].control())
		for j := range 2 {
			w.targets = append(w.targets, &target{
				id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, addr: fmt.Sprintf("%s.%d:8080", net, 50+10*i+j), slots: 8, store: w.store,
			})
		}
	}
	return w, nil
}

// route is a route of a configuration.
type route struct {
	prefix, kind string
	timeout      time.Duration
}

// configure writes a configuration.
func (w *world) configure(version int, routes ...route) {
	list := make(map[string]any)
	for i, r := range routes {
		list[fmt.Sprintf("r-%d", i)] = map[string]any{
			"Hostname": host, "Prefix": r.prefix, "Kind": r.kind, "Timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()), "Slo": "300ms",
			"Priority": 1, "Service": service, "Attempts": 2, "Sticky": false, "HomeRegions": []string{},
		}
	}
	cfg := map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Routes": list,
		"Services": map[string]any{service: map[string]any{"HealthPath": healthPath, "MaxConns": 360, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 12.0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
	data, err := json.Marshal(cfg)
	if err != nil {
		panic(err)
	}
	w.store.put("op", "config", string(data))
}

// start starts the targets and the VMs and waits until these are ready.
func (w *world) start() error {
	for _, t := range w.targets {
		if err := t.start(); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if err := v.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// end ends all processes.
func (w *world) end() {
	for _, v := range w.vms {
		v.end()
	}
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that a rule is broken.
func (w *world) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// attemptID returns a new ID of a client attempt.
func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is a connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// head returns a request's header without the final empty line.
func head(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
}

// outcome describes an answer in one line.
func outcome(resp *http.Response, n int64, err error) string {
	if resp == nil {
		return fmt.Sprintf("no answer (%v)", err)
	}
	text := fmt.Sprintf("%d, stamp %q, %d bytes of the body", resp.StatusCode, resp.Header.Get("X-Server-Stamp"), n)
	if err != nil {
		text += fmt.Sprintf(", then %v", err)
	}
	return text
}

func trouble() bool { return !strings.EqualFold(os.Getenv("TROUBLE"), "0") }
