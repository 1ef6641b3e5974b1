package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/balance"
	"auburnlatch/core/poison"
	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/io/entry"
	"auburnlatch/io/logline"
	"auburnlatch/io/settings"
	"auburnlatch/standin/freeport"
)

// errUnavailable is the error of an unavailable platform.
var errUnavailable = errors.New("the platform is unavailable")

// fakePlatform stores rules and registrations in memory, as JSON of core's types.
type fakePlatform struct {
	mu          sync.Mutex
	unavailable bool
	version     uint64
	rows        map[string]map[string]replica.Row
	vms         map[string]string
	// placements are by region.
	placements map[string][]byte
	bans       map[poison.Print]poison.Ban
}

func newPlatform() *fakePlatform {
	return &fakePlatform{
		rows: map[string]map[string]replica.Row{entry.TableRules: {}, entry.TableTargets: {}}, vms: map[string]string{}, placements: map[string][]byte{},
		bans: map[poison.Print]poison.Ban{},
	}
}

func (p *fakePlatform) set(table, key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[table][key] = replica.Row{Key: key, Version: p.version, Value: value}
}

func (p *fakePlatform) remove(table, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[table][key] = replica.Row{Key: key, Version: p.version, Removed: true}
}

// newest returns the version of the newest row.
func (p *fakePlatform) newest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

func (p *fakePlatform) setUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
}

func (p *fakePlatform) Read(_ context.Context, table string) (replica.Delta, error) {
	d, err := p.since(table, 0)
	d.Whole = true
	return d, err
}

func (p *fakePlatform) since(table string, after uint64) (replica.Delta, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return replica.Delta{}, errUnavailable
	}
	d := replica.Delta{From: after, To: replica.Head{Table: table, Version: p.version}}
	for _, r := range p.rows[table] {
		if r.Version > after {
			d.Rows = append(d.Rows, r)
		}
	}
	return d, nil
}

func (p *fakePlatform) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (replica.Delta, error) {
	for end := time.Now().Add(wait); ; {
		d, err := p.since(table, after)
		if err != nil || len(d.Rows) > 0 || !time.Now().Before(end) {
			return d, err
		}
		select {
		case <-ctx.Done():
			return d, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (p *fakePlatform) Era() uint64 { return 0 }

func (p *fakePlatform) RTT(context.Context) (time.Duration, error) { return time.Millisecond, nil }

func (p *fakePlatform) Same(_, _ string, a, b []byte) bool { return string(a) == string(b) }

func (p *fakePlatform) Meaning(_, _ string, value []byte) []byte { return value }

func (p *fakePlatform) Rules(rows []replica.Row) (entry.Rules, error) {
	rules := entry.Rules{Evacuations: target.Evacuations{Zones: map[string]bool{}}}
	for _, r := range rows {
		switch {
		case r.Removed:
		case r.Key == "config":
			rules.Config = &route.Config{}
			if err := json.Unmarshal(r.Value, rules.Config); err != nil {
				return rules, err
			}
		default:
			rules.Evacuations.Zones[r.Key] = true
		}
	}
	return rules, nil
}

func (p *fakePlatform) Registration(row replica.Row) (target.Registration, error) {
	var reg target.Registration
	err := json.Unmarshal(row.Value, &reg)
	reg.ID, reg.ReadAt, reg.Removed, reg.RemovedAt, reg.AfterGap = row.Key, row.At, row.Removed, row.RemovedAt, row.AfterGap
	return reg, err
}

func (p *fakePlatform) Announce(_ context.Context, name, addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return errUnavailable
	}
	p.vms[name] = addr
	return nil
}

func (p *fakePlatform) Withdraw(_ context.Context, name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	return nil
}

func (p *fakePlatform) VMs(context.Context) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, errUnavailable
	}
	var list []string
	for _, addr := range p.vms {
		list = append(list, addr)
	}
	return list, nil
}

func (p *fakePlatform) SavePlacements(_ context.Context, region string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return errUnavailable
	}
	p.placements[region] = data
	return nil
}

func (p *fakePlatform) Placements(_ context.Context, region string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, errUnavailable
	}
	return p.placements[region], nil
}

func (p *fakePlatform) SaveBans(_ context.Context, bans []poison.Ban) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return errUnavailable
	}
	for _, b := range bans {
		p.bans[b.Print] = b
	}
	return nil
}

func (p *fakePlatform) Bans(context.Context) ([]poison.Ban, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return nil, errUnavailable
	}
	return slices.Collect(maps.Values(p.bans)), nil
}

func (p *fakePlatform) DeleteBans(_ context.Context, prints []poison.Print) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, print := range prints {
		delete(p.bans, print)
	}
	return nil
}

// upstreamServer is an upstream that counts the requests it ran.
type upstreamServer struct {
	*httptest.Server
	mu  sync.Mutex
	ran map[string]int
}

func (u *upstreamServer) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

func startUpstream(t testing.TB, h func(w http.ResponseWriter, r *http.Request)) *upstreamServer {
	t.Helper()
	u := &upstreamServer{ran: map[string]int{}}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if w.Header().Get("Not-Run") == "" {
			u.mu.Lock()
			u.ran[r.Header.Get("Request-Id")]++
			u.mu.Unlock()
		}
		h(w, r)
	}))
	t.Cleanup(func() { u.CloseClientConnections(); u.Close() })
	return u
}

func (u *upstreamServer) addr() string { return strings.TrimPrefix(u.URL, "http://") }

var protocol = entry.Protocol{
	RequestID: "Request-Id", DeadlineMillis: "Deadline-Ms", ExpectTarget: "Expect-Target", Instance: "Instance-Id", ColdMillis: "Cold-Ms", NotRun: "Not-Run", Load: "Load", ParseLoad: parseLoad, Limit: "Limit", Leaving: "Leaving", Team: "Team",
	Key:    func(r *http.Request) string { return r.Header.Get("Object") },
	Caller: func(r *http.Request) string { return r.Header.Get("Caller") },
}

// parseLoad decodes a load of three figures, or four with the pace.
func parseLoad(values []string) (*balance.Load, error) {
	if len(values) == 0 {
		return nil, nil
	}
	var l balance.Load
	if n, err := fmt.Sscanf(values[0], "%d,%d,%d,%f", &l.Running, &l.Waiting, &l.Slots, &l.Pace); n < 3 {
		return nil, err
	}
	return &l, nil
}

// runningVM is a VM under test.
type runningVM struct {
	*entry.VM
	cfg   *settings.Entry
	lines *lockedBuffer
	stop  context.CancelFunc
	done  chan error
}

// lockedBuffer stores a VM's log.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// readLog returns the lines written so far.
func (v *runningVM) readLog(t *testing.T) []logline.Line {
	t.Helper()
	v.lines.mu.Lock()
	defer v.lines.mu.Unlock()
	lines, err := logline.Read(bytes.NewReader(v.lines.buf.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// trace returns the lines about one request.
func (v *runningVM) trace(t *testing.T, id string) []logline.Line {
	t.Helper()
	return logline.Trace(v.readLog(t), id)
}

func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := freeport.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func startVM(t testing.TB, name string, p entry.Platform, change func(*settings.Entry), opts ...entry.Option) *runningVM {
	t.Helper()
	lines := &lockedBuffer{}
	v := startVMLogging(t, name, p, change, logline.New(lines, false), opts...)
	v.lines = lines
	return v
}

// startVMLogging is startVM with a given log.
func startVMLogging(t testing.TB, name string, p entry.Platform, change func(*settings.Entry), log *logrus.Logger, opts ...entry.Option) *runningVM {
	t.Helper()
	cfg := &settings.Entry{
		Name: name, Zone: "z", Region: "r", Regions: map[string]string{"z": "r", "y": "r", "x": "q"},
		FrontAddr: freeAddr(t), PeerAddr: freeAddr(t), StopGrace: 300 * time.Millisecond,
		RetryRatio: 1, RetryWindow: 10 * time.Second, RetryExtra: 100,
		UpstreamHeartbeat: time.Second, LookupTTL: time.Second, LeaveWithin: 2 * time.Second,
	}
	if change != nil {
		change(cfg)
	}
	v := &runningVM{VM: entry.New(cfg, p, protocol, log.WithField("VM", name), opts...), cfg: cfg, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go v.run(ctx)
	t.Cleanup(func() { cancel(); <-v.done })
	return v
}

// run runs the VM until ctx ends.
func (v *runningVM) run(ctx context.Context) {
	v.done <- v.Run(ctx, nil)
	close(v.done)
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for range 1000 {
		if f() {
			return
		}
		<-time.After(10 * time.Millisecond)
	}
	t.Fatalf("not within 10 s: %s", what)
}

// config has an idempotent route /get/, a non-idempotent one /post/, and one with its home
// in another region, /home/.
func config(version uint64) *route.Config {
	part := []route.Part{{Service: "s", Weight: 1}}
	return &route.Config{
		Version: version, Services: []*route.Service{{Name: "s", ColdPerSecond: 10}},
		Routes: []*route.Route{
			{Name: "get", Host: "h", Prefix: "/get/", Kind: route.Idempotent, Timeout: time.Second, Attempts: 2, Parts: part},
			{Name: "post", Host: "h", Prefix: "/post/", Kind: route.NonIdempotent, Timeout: time.Second, Attempts: 2, Parts: part},
			{Name: "home", Host: "h", Prefix: "/home/", Kind: route.Idempotent, Timeout: time.Second, Attempts: 2, Parts: part, Homes: []string{"q"}},
		},
	}
}

func register(p *fakePlatform, id, addr string) {
	p.set(entry.TableTargets, id, target.Registration{Service: "s", Addr: addr, Zone: "z", Slots: 4})
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// request sends a request for an object of its own.
func (v *runningVM) request(t *testing.T, method, path, id, body string) reply {
	t.Helper()
	return v.requestObject(t, method, path, id, id, body)
}

func (v *runningVM) requestObject(t *testing.T, method, path, id, object, body string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+v.cfg.FrontAddr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Object", object)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

func ready(t testing.TB, v *runningVM) {
	t.Helper()
	eventually(t, "the VM is ready", v.Ready)
}
