package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"auburnlatch/core/route"
	"auburnlatch/io/entry"
	"auburnlatch/io/forward"
)

const (
	// earlyBytes is more than a VM buffers of a response, and longBody more than it buffers of a
	// request.
	earlyBytes = 400_000
	longBody   = 4 << 20
)

// earlyUpstream begins to respond before it reads the body of a request.
type earlyUpstream struct {
	// begun is closed when the caller has the beginning of the response.
	begun chan struct{}
	// early says that the response ends before the body is read.
	early    bool
	received chan receivedBody
}

// receivedBody is what an upstream has received of a body, and the error with which that ended.
type receivedBody struct {
	data []byte
	err  error
}

// ServeHTTP implements http.Handler.
func (u *earlyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	w.Header().Set("Content-Length", fmt.Sprint(2*earlyBytes))
	_, _ = w.Write(make([]byte, earlyBytes))
	_ = rc.Flush()
	if u.early {
		_, _ = w.Write(make([]byte, earlyBytes))
		_ = rc.Flush()
	}
	<-u.begun
	data, err := io.ReadAll(r.Body)
	u.received <- receivedBody{data, err}
	if !u.early {
		_, _ = w.Write(make([]byte, earlyBytes))
	}
}

// startServing starts a VM with one upstream, and routes that have a minute. change changes the rules;
// nil: they stay.
func startServing(t testing.TB, h http.HandlerFunc, change func(*route.Config)) (*runningVM, *upstreamServer) {
	t.Helper()
	p := newPlatform()
	cfg := config(1)
	for _, r := range cfg.Routes {
		r.Timeout = time.Minute
	}
	if change != nil {
		change(cfg)
	}
	p.set(entry.TableRules, "config", cfg)
	u := startUpstream(t, h)
	register(p, "i-1", u.addr())
	v := startVM(t, "a", p, nil)
	ready(t, v)
	return v, u
}

// sendBody writes the head of an upload and its body, with a length or in chunks.
func sendBody(c net.Conn, body []byte, chunked bool) {
	const head = "POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n"
	if !chunked {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, len(body))
		_, _ = c.Write(body)
		return
	}
	fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	const chunk = 50_000
	for len(body) > 0 {
		n := min(chunk, len(body))
		fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// Guards against bodies of which an upstream that responds early gets other bytes where the rest is
// due, or a shorter one that looks whole.
func TestBodyOfEarlyResponseIsWholeOrEndsVisibly(t *testing.T) {
	body := make([]byte, longBody)
	_, _ = rand.NewChaCha8([32]byte{}).Read(body)
	for _, chunked := range []bool{false, true} {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("chunked %v, response ends first %v", chunked, early), func(t *testing.T) {
				u := &earlyUpstream{begun: make(chan struct{}), early: early, received: make(chan receivedBody, 1)}
				v, _ := startServing(t, u.ServeHTTP, nil)
				c, err := net.Dial("tcp", v.cfg.FrontAddr)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				go sendBody(c, body, chunked)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				if !early {
					close(u.begun)
				}
				if n, err := io.Copy(io.Discard, resp.Body); n != 2*earlyBytes || err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
				}
				if early {
					close(u.begun)
				}
				got := <-u.received
				if !bytes.HasPrefix(body, got.data) {
					t.Error("the upstream got other bytes than were sent")
				}
				if got.err == nil && len(got.data) != len(body) {
					t.Errorf("the upstream got %d of %d bytes as a whole body", len(got.data), len(body))
				}
				if !early && got.err != nil {
					t.Errorf("the upstream got %d of %d bytes: %v", len(got.data), len(body), got.err)
				}
			})
		}
	}
}

// Guards against bodies that end before their end and are passed on as whole, or hold their
// upstream until the route's timeout, and against answers that say something else.
func TestBodyThatEndsBeforeItsEnd(t *testing.T) {
	const limit = 2 << 20
	long := bytes.Repeat([]byte("b"), limit-1)
	chunk := func(p []byte) string { return fmt.Sprintf("%x\r\n%s\r\n", len(p), p) }
	chunkedHead := "POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	sizedHead := "POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n"
	for _, tc := range []struct {
		name    string
		send    string
		leaves  bool
		status  int // 0: no answer is expected.
		verdict string
		reaches bool // The upstream gets the beginning.
	}{
		{"a length beyond the limit", fmt.Sprintf(sizedHead, limit+1), false, http.StatusRequestEntityTooLarge, "NotRun", false},
		{"chunks beyond the limit", chunkedHead + chunk(long) + chunk(long), false, http.StatusRequestEntityTooLarge, "MaybeRan", true},
		{"a bad chunk after the buffer", chunkedHead + chunk(long) + "no size\r\n", false, http.StatusBadRequest, "MaybeRan", true},
		{"a bad chunk", chunkedHead + chunk(long[:1000]) + "no size\r\n", false, http.StatusBadRequest, "NotRun", false},
		{"the caller leaves within a length", fmt.Sprintf(sizedHead, limit) + string(long), true, 0, "", true},
		{"the caller leaves between chunks", chunkedHead + chunk(long), true, 0, "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			received := make(chan receivedBody, 1)
			v, _ := startServing(t, func(_ http.ResponseWriter, r *http.Request) {
				data, err := io.ReadAll(r.Body)
				received <- receivedBody{data, err}
			}, func(cfg *route.Config) { cfg.Limits.MaxBodyBytes = limit })
			c, err := net.Dial("tcp", v.cfg.FrontAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			began := time.Now()
			if _, err := io.WriteString(c, tc.send); err != nil {
				t.Fatal(err)
			}
			if tc.leaves {
				c.Close()
			}
			if tc.status != 0 {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				if v := resp.Header.Get(forward.HeaderVerdict); resp.StatusCode != tc.status || v != tc.verdict {
					t.Errorf("status %d, verdict %s, want %d, %s", resp.StatusCode, v, tc.status, tc.verdict)
				}
			}
			if tc.reaches {
				if got := <-received; got.err == nil {
					t.Errorf("the upstream got %d bytes as a whole body", len(got.data))
				}
			} else if n := len(received); n != 0 {
				t.Error("the upstream got a request that was refused")
			}
			if took := time.Since(began); took > 20*time.Second {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// Guards against callers that send a whole body before they read, and wait for ever as their
// upstream has responded and reads no more.
func TestCallerThatReadsAfterSendingIsAnswered(t *testing.T) {
	v, _ := startServing(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, earlyBytes))
	}, nil)
	c := dialSmallWindow(t, v.cfg.FrontAddr)
	sendBody(c, make([]byte, 2*longBody), false)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != earlyBytes || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// Guards against callers of HTTP/1.0 that take a response which was broken off for a whole one, as
// both end with the connection.
func TestBrokenResponseIsResetForHTTP10(t *testing.T) {
	for name, breaks := range map[string]bool{"whole": false, "broken off": true} {
		t.Run(name, func(t *testing.T) {
			v, _ := startServing(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, earlyBytes)) // In chunks.
				if breaks {
					panic(http.ErrAbortHandler)
				}
			}, nil)
			c := dialPipeline(t, v)
			c.send(t, "GET /get/1 HTTP/1.0\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if whole := err == nil; whole == breaks || whole && n != earlyBytes {
				t.Errorf("the caller got %d bytes, %v", n, err)
			}
		})
	}
}

// Guards against callers that hold a buffer for as long as they like, as they send a body slowly.
func TestSlowBodyIsBoundedByTheDeadline(t *testing.T) {
	v, u := startServing(t, func(http.ResponseWriter, *http.Request) {}, nil)
	c := dialPipeline(t, v)
	c.send(t, "POST /post/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: 300\r\nContent-Length: 1000\r\n\r\npart")
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if status, _, closes := c.response(t); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("status %d, closes: %v", status, closes)
	}
	if n := u.runs("1"); n != 0 {
		t.Errorf("sent %d times", n)
	}
}
