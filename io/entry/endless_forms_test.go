package entry_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"auburnlatch/io/entry"
	"auburnlatch/standin/endless"
)

// endlessBodies returns bodies without an end. Of one without a repeated part, a byte comes at times.
func endlessBodies() map[string]endless.Body {
	bodies := endless.Bodies()
	bodies["a byte at times"] = endless.Body{Begin: "Content-Length: 1000\r\n\r\n"}
	return bodies
}

// requireNotWhole sends a request whose response has no end to the VM, and fails if the caller can take
// the response for whole.
func (v *runningVM) requireNotWhole(ctx context.Context, t *testing.T, path, id string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.cfg.FrontAddr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("got a complete response of %d bytes", n)
	}
}

// sendEndlessBody sends one of endlessBodies after the begin of a header.
func sendEndlessBody(t *testing.T, w http.ResponseWriter, begin string, part endless.Body) {
	if part.Repeat != "" {
		sendEndless(t, w, begin+part.Begin, part.Repeat, math.MaxInt64)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	_, err = io.WriteString(c, begin+part.Begin)
	for err == nil {
		<-time.After(20 * time.Millisecond)
		_, err = io.WriteString(c, "x")
	}
}

// Guards against requests that wait for the end of a refusal, or of a response of another
// incarnation, whose body has none.
func TestRefusalWithoutEnd(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable\r\nNot-Run: 1", "429 Too Many Requests\r\nNot-Run: 1", "421 Misdirected Request"} {
		for name, part := range endlessBodies() {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				t.Parallel()
				p := newPlatform()
				p.set(entry.TableRules, "config", config(1))
				closed := make(chan struct{}, 100)
				bad := startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
					defer func() { closed <- struct{}{} }()
					sendEndlessBody(t, w, "HTTP/1.1 "+status+"\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\n", part)
				})
				good := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
				register(p, "i-0", bad.addr())
				v := startVM(t, "a", p, nil)
				ready(t, v)
				if r := v.request(t, http.MethodPost, "/post/1", "first", ""); r.err != nil || r.status != http.StatusServiceUnavailable {
					t.Errorf("refused by the only upstream: %d, %v", r.status, r.err)
				}
				register(p, "i-1", good.addr())
				eventually(t, "the other upstream serves", func() bool {
					r := v.request(t, http.MethodPost, "/post/1", "again", "")
					return r.err == nil && r.status == http.StatusOK && r.body == "ok"
				})
				<-closed
			})
		}
	}
}

// Guards against responses without an end that are read on after their caller has left.
func TestBodyWithoutEndAfterItsCallerHasLeft(t *testing.T) {
	for name, part := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform()
			cfg := config(1)
			for _, r := range cfg.Routes {
				r.Timeout = time.Minute
			}
			p.set(entry.TableRules, "config", cfg)
			began, closed := make(chan struct{}), make(chan struct{})
			u := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				close(began)
				defer close(closed)
				sendEndlessBody(t, w, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n", part)
			})
			register(p, "i-0", u.addr())
			v := startVM(t, "a", p, nil)
			ready(t, v)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.cfg.FrontAddr+"/post/1", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h"
			req.Header.Set("Request-Id", "1")
			go func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_, _ = io.CopyN(io.Discard, resp.Body, 1<<20)
					resp.Body.Close()
				}
			}()
			<-began
			time.AfterFunc(200*time.Millisecond, cancel)
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the upstream still sends 10 s after the caller has left")
			}
		})
	}
}

// Guards against relayed responses without an end that either VM reads on after the request's
// deadline, or that callers take for complete.
func TestRelayedBodyWithoutEndIsCut(t *testing.T) {
	for name, part := range endlessBodies() {
		t.Run(name, func(t *testing.T) {
			f := newCutFleet(t)
			closed := make(chan struct{}, 100)
			f.handle = func(w http.ResponseWriter, r *http.Request) bool {
				if !strings.HasSuffix(r.URL.Path, "/endless") {
					return false
				}
				defer func() { closed <- struct{}{} }()
				sendEndlessBody(t, w, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\n", part)
				return true
			}
			f.start(2)
			f.cut(0)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			f.vms[0].requireNotWhole(ctx, t, "/post/endless", "endless")
			select {
			case <-closed:
			case <-ctx.Done():
				t.Error("the upstream still sends after 20 s")
			}
		})
	}
}
