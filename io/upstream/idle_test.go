package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"auburnlatch/core/reach"
	"auburnlatch/io/upstream"
)

// serveAll responds to each request on a connection.
func serveAll(_ int, c net.Conn, r *bufio.Reader) {
	for {
		req, ok := readRequest(r)
		if !ok {
			return
		}
		answer(c, req.Header.Get("Id"), "ok")
	}
}

// Guards against connections whose idle time ends while a request is about to be written on them.
func TestIdleTimeEndsAsRequestIsSent(t *testing.T) {
	for name, end := range map[string]func(*upstream.Pool){
		"its own":           func(p *upstream.Pool) { p.Sweep(time.Now().Add(time.Hour), func(string) bool { return true }) },
		"upstream gone":     func(p *upstream.Pool) { p.Sweep(time.Now(), func(string) bool { return false }) },
		"links were lost":   func(p *upstream.Pool) { p.CloseIdle(time.Now().Add(time.Hour)) },
		"dials are aborted": (*upstream.Pool).AbortDials,
	} {
		t.Run(name, func(t *testing.T) {
			p := upstream.NewPool()
			addr := startServer(t, serveAll)
			if _, err := send(t, p, call(addr, "1")); err != nil {
				t.Fatal(err)
			}
			c := call(addr, "2")
			c.Admit = func(time.Time) bool { end(p); return true }
			if got, err := send(t, p, c); got != "ok" || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
			if n := p.Opened(); n != 1 {
				t.Errorf("%d connections were opened, want 1", n)
			}
		})
	}
}

// lateCloseConn is closed only when it is released, as by a goroutine that runs late.
type lateCloseConn struct {
	net.Conn
	release <-chan struct{}
}

func (c *lateCloseConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// Guards against requests on a connection that the end of a check of the upstream closes.
func TestConnectionOfEndedCheckIsNotUsed(t *testing.T) {
	for name, wanted := range map[string]reach.Contact{"accepted": reach.Accepted, "heard": reach.Heard} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			release := make(chan struct{})
			var once sync.Once
			free := func() { once.Do(func() { close(release) }) }
			defer free()
			addr := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
				for {
					req, ok := readRequest(r)
					if !ok {
						return
					}
					if n == 0 && req.Method == http.MethodPost {
						free()
						_, _ = r.ReadByte() // Until the connection is closed.
						return
					}
					answer(c, req.Header.Get("Id"), "ok")
				}
			})
			opened := 0
			p := upstream.NewPool(upstream.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
				raw, err := (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, addr)
				opened++
				if err != nil || opened > 1 {
					return raw, err
				}
				cancel()
				return &lateCloseConn{raw, release}, nil
			}))
			if got := p.Contact(ctx, "t", addr, upstream.Check{Path: "/"}, wanted); got != wanted {
				t.Errorf("contact %v, want %v", got, wanted)
			}
			if got, err := send(t, p, call(addr, "1")); got != "ok" || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}
