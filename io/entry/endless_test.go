package entry_test

import (
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"auburnlatch/io/entry"
	"auburnlatch/io/logline"
	"auburnlatch/standin/endless"
)

// endlessBytes is what the stand-in sends of a header without an end before it holds the
// connection.
const endlessBytes = 4 << 20

// sendEndless sends what does not end on the connection of a request, up to a number of bytes, and
// returns when the connection has been closed.
func sendEndless(t *testing.T, w http.ResponseWriter, begin, repeat string, limit int64) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	endless.Send(c, begin, repeat, limit)
}

// Guards against callers that wait for the route's timeout while an upstream sends a header without
// an end.
func TestHeaderWithoutEndEndsAtOnce(t *testing.T) {
	for name, part := range map[string][2]string{
		"line":    {"HTTP/1.1 200 OK", " and so on"},
		"noise":   {"", "\x00\x01\x02"},
		"fields":  {"HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
		"interim": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform()
			cfg := config(1)
			for _, r := range cfg.Routes {
				r.Timeout = time.Minute
			}
			p.set(entry.TableRules, "config", cfg)
			bad := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { sendEndless(t, w, part[0], part[1], endlessBytes) })
			register(p, "i-0", bad.addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			http.DefaultClient.Timeout = 20 * time.Second
			defer func() { http.DefaultClient.Timeout = 0 }()
			if r := v.request(t, http.MethodPost, "/post/1", "1", "body"); r.err != nil || r.status != http.StatusBadGateway {
				t.Errorf("not idempotent: %d, %v", r.status, r.err)
			}
			if n := bad.runs("1"); n != 1 {
				t.Errorf("sent %d times", n)
			}
			good := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			register(p, "i-1", good.addr())
			eventually(t, "the other upstream serves", func() bool {
				r := v.request(t, http.MethodGet, "/get/1", "2", "")
				return r.err == nil && r.status == http.StatusOK && r.body == "ok"
			})
			total := int64(0)
			for _, n := range v.Figures(time.Now()).HeadersTooLong {
				total += n
			}
			if total == 0 {
				t.Error("not counted")
			}
			logged := slices.ContainsFunc(v.trace(t, "1"), func(l logline.Line) bool {
				return slices.Contains(l.Fields, logline.Field{Name: "HeaderBytes", Value: "65536"})
			})
			if !logged {
				t.Error("no line with the bytes read")
			}
		})
	}
}

// Guards against bodies without an end that are read on after the route's timeout, or that callers
// take for complete.
func TestBodyWithoutEndIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
	for name, part := range map[string][2]string{
		"until the close": {head + "\r\n", "bytes"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"},
		"extension":       {head + "Transfer-Encoding: chunked\r\n\r\n5;name=", "value"},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n", "Field: value\r\n"},
		"line of trailer": {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\nField: ", "value"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform()
			p.set(entry.TableRules, "config", config(1))
			closed := make(chan struct{})
			u := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				defer close(closed)
				sendEndless(t, w, part[0], part[1], math.MaxInt64)
			})
			register(p, "i-0", u.addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			v.requireNotWhole(t.Context(), t, "/post/1", "1")
			<-closed
		})
	}
}

// Guards against callers' headers that are read without a bound.
func TestCallersHeaderWithoutEnd(t *testing.T) {
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	v := startVM(t, "a", p, nil)
	ready(t, v)
	for name, part := range map[string][2]string{
		"line":   {"GET /", "path"},
		"fields": {"GET / HTTP/1.1\r\n", "Field: value\r\n"},
	} {
		c, err := net.Dial("tcp", v.cfg.FrontAddr)
		if err != nil {
			t.Fatal(err)
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			endless.Send(c, part[0], part[1], math.MaxInt64)
		}()
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Errorf("%s: the connection is still read", name)
			c.Close()
		}
	}
}
