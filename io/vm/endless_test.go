package vm

import (
	"io"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/standin/endless"
)

// endlessUpstream sends a body without an end for requests of a path with its name, and serves all
// others.
type endlessUpstream struct {
	t       *testing.T
	forms   map[string][2]string
	serving http.Handler
	sending *atomic.Int64 // Of all upstreams.
	sent    *atomic.Int64
}

// ServeHTTP implements http.Handler.
func (u *endlessUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	part, ok := u.forms[name]
	if !ok {
		u.serving.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		u.t.Error(err)
		return
	}
	u.sent.Add(1)
	u.sending.Add(1)
	defer u.sending.Add(-1)
	endless.Send(c, "HTTP/1.1 200 OK\r\n"+part[0], part[1], math.MaxInt64)
}

// Guards against bodies without an end, of an upstream of this VM or behind another one, that are read
// on after the service's timeout, that callers take for complete, or that are kept for a key.
func TestBodyWithoutEndIsCut(t *testing.T) {
	forms := map[string][2]string{
		"close":     {"\r\n", "bytes"},
		"chunks":    {"Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"},
		"extension": {"Transfer-Encoding: chunked\r\n\r\n5;name=", "value"},
		"length":    {"Content-Length: 9223372036854775807\r\n\r\n", "bytes"},
		"trailer":   {"Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n", "Field: value\r\n"},
	}
	f := newFleet(t, "z1", "z2")
	var sending, sent atomic.Int64
	f.wrapUpstreams(func(serving http.Handler) http.Handler {
		return &endlessUpstream{t: t, forms: forms, serving: serving, sending: &sending, sent: &sent}
	})
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	for _, zone := range []string{"z1", "z2"} {
		sendAllTo(a, zone)
		for name := range forms {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				began := time.Now()
				status, n, err := f.discard(a, method, "/istoric/"+name, keyed(zone+name))
				if status == http.StatusOK && err == nil {
					t.Errorf("%s %s in %s: a complete response of %d bytes", method, name, zone, n)
				}
				if took := time.Since(began); took > 15*time.Second {
					t.Errorf("%s %s in %s took %v", method, name, zone, took)
				}
				f.waitFor("no upstream sends any more", func() bool { return sending.Load() == 0 })
			}
		}
	}
	if n := sent.Load(); n < int64(len(forms)) {
		t.Errorf("%d responses without an end", n)
	}
}

// wrapUpstreams puts a handler in front of each upstream of the service istoric, whose timeout becomes a second.
func (f *fleet) wrapUpstreams(wrap func(serving http.Handler) http.Handler) {
	f.t.Helper()
	service := *f.inv.Service("istoric")
	service.Timeout = time.Second
	ops := []inventory.Op{{Service: &service}}
	for _, target := range f.inv.Targets {
		changed := *target
		changed.Addr = strings.TrimPrefix(f.serve(wrap(f.upstreams[target.Name])), "http://")
		ops = append(ops, inventory.Op{Target: &changed})
	}
	inv, err := f.inv.Apply(inventory.Change{ID: "wrapped", Based: f.inv.Version, Ops: ops})
	if err != nil {
		f.t.Fatal(err)
	}
	inv.Version = f.inv.Version
	f.inv = inv
}

// discard sends a request through a VM, and returns the status and the length of the response.
func (f *fleet) discard(v *runningVM, method, path string, header map[string]string) (status int, n int64, err error) {
	req, err := http.NewRequest(method, "http://"+v.cfg.CallerAddr+path, http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	n, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, n, err
}
