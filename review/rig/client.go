package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// resolveTimeout is how long a client waits for an answer of the directory, and dialTimeout
	// for a new connection.
	resolveTimeout = time.Second
	dialTimeout    = time.Second
	// maxResolvers is how many VMs a client asks where to connect.
	maxResolvers = 3
	// hostName is the host of all routes.
	hostName = "jepu9.example"
)

// outcome is what a client saw of one request.
type outcome struct {
	ID, Method, URI string
	VM              string
	Sent, Ended     time.Time
	Deadline        time.Duration
	// Status is 0 if there was no complete answer; Err says why.
	Status int
	Stamp  string
	Header http.Header
	// Intact says that the body is that of the answer to this request.
	Intact bool
	Err    error
	// Kept says that it was sent on a connection that had carried another request.
	Kept bool
	// Behind says that it was sent before the one ahead of it was answered.
	Behind bool
}

// outcomes collects what clients saw.
type outcomes struct {
	mu   sync.Mutex
	list []*outcome
}

func (o *outcomes) add(x *outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, x)
}

func (o *outcomes) all() []*outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.list)
}

// newID returns a new ID of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// kept is a client's open connection.
type kept struct {
	net.Conn
	r    *bufio.Reader
	addr string
	used int
}

// closed reports whether the VM has closed the idle connection.
func (k *kept) closed() bool {
	_ = k.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := k.r.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// client is a stand-in for a client: it keeps a connection, and asks the directory where to
// connect as often as the answers say.
type client struct {
	fleet *fleet
	seen  *outcomes
	zone  string
	// keeps is how many times the time to live of a look-up's answer the client uses it.
	keeps time.Duration

	addrs    []string
	until    time.Time
	failed   map[string]bool
	conn     *kept
	vmByAddr map[string]string
}

func newClient(f *fleet, seen *outcomes, zone string, keeps time.Duration) *client {
	c := &client{fleet: f, seen: seen, zone: zone, keeps: keeps, vmByAddr: make(map[string]string)}
	for _, v := range f.vms {
		c.vmByAddr[v.front] = v.name
	}
	return c
}

// lookup is the directory's answer.
type lookup struct {
	Addrs []string
	Ttl   string
}

// resolve asks the directory where to connect if the last answer has expired.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	list := slices.Clone(c.fleet.vms)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *vm) int { return c.distance(a) - c.distance(b) })
	for _, v := range list[:min(maxResolvers, len(list))] {
		l, err := c.ask(v)
		if err != nil || len(l.Addrs) == 0 {
			continue
		}
		ttl, err := time.ParseDuration(l.Ttl)
		if err != nil {
			continue
		}
		c.addrs, c.until, c.failed = l.Addrs, time.Now().Add(c.keeps*min(ttl, c.fleet.bounds.ttl)), nil
		if c.conn != nil && !slices.Contains(c.addrs, c.conn.addr) {
			c.drop()
		}
		return
	}
}

// distance orders VMs by how near they are.
func (c *client) distance(v *vm) int {
	switch {
	case v.zone == c.zone:
		return 0
	case zones[v.zone] == zones[c.zone]:
		return 1
	default:
		return 2
	}
}

// ask asks one VM where to connect.
func (c *client) ask(v *vm) (lookup, error) {
	q := url.Values{"Name": {hostName}, "Region": {zones[c.zone]}, "Zone": {c.zone}}
	httpc := http.Client{Timeout: resolveTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := httpc.Get("http://" + v.directory + "/v1/resolve?" + q.Encode())
	if err != nil {
		return lookup{}, err
	}
	defer resp.Body.Close()
	var l lookup
	if resp.StatusCode != http.StatusOK {
		return l, errors.New(resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// drop closes the client's connection.
func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to one of the addresses if there is none.
func (c *client) connect() error {
	c.resolve()
	if c.conn != nil && c.conn.closed() {
		c.drop()
	}
	if c.conn != nil {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(c.addrs), func(a string) bool { return c.failed[a] })
	if len(list) == 0 {
		list = c.addrs
	}
	if len(list) == 0 {
		return errors.New("no address is known")
	}
	addr := list[rand.IntN(len(list))]
	raw, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		if c.failed == nil {
			c.failed = make(map[string]bool)
		}
		c.failed[addr] = true
		return err
	}
	c.conn = &kept{Conn: raw, r: bufio.NewReader(raw), addr: addr}
	return nil
}

// send sends one request and records what the client saw. It does not retry.
func (c *client) send(method, uri string, deadline time.Duration) {
	if err := c.connect(); err != nil {
		return
	}
	conn := c.conn
	o := &outcome{ID: newID(), Method: method, URI: uri, VM: c.vmByAddr[conn.addr], Deadline: deadline, Kept: conn.used > 0}
	conn.used++
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	_, err := conn.Write(requestBytes(o))
	o.Sent = time.Now()
	if err == nil {
		err = o.read(conn.r)
	}
	o.Ended, o.Err = time.Now(), err
	if err != nil || o.Header.Get("Connection") == "close" {
		c.drop()
	}
	c.seen.add(o)
}

// requestBytes returns a request without a body as it is written to a connection.
func requestBytes(o *outcome) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", o.Method, o.URI, hostName, o.ID, o.Deadline.Milliseconds())
}

// read reads the answer to a request.
func (o *outcome) read(r *bufio.Reader) error {
	resp, err := http.ReadResponse(r, &http.Request{Method: o.Method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("answer cut: %w", err)
	}
	o.Status, o.Header, o.Stamp, o.Intact = resp.StatusCode, resp.Header, resp.Header.Get("X-Server-Stamp"), bytes.HasPrefix(text, []byte(o.ID))
	if resp.Close {
		o.Header.Set("Connection", "close")
	}
	return nil
}

// pace sleeps for a random time around mean, or until ctx ends.
func pace(ctx context.Context, mean time.Duration) bool {
	t := time.NewTimer(time.Duration(float64(mean) * (0.5 + rand.Float64())))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sendBehind sends n idempotent requests, each before the one before it has been answered.
func (c *client) sendBehind(uri string, n int, gap, deadline time.Duration) []*outcome {
	if err := c.connect(); err != nil {
		return nil
	}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	var list []*outcome
	for i := range n {
		o := &outcome{ID: newID(), Method: http.MethodGet, URI: uri, VM: c.vmByAddr[conn.addr], Deadline: deadline, Kept: conn.used > 0, Behind: i > 0}
		conn.used++
		list = append(list, o)
		_, err := conn.Write(requestBytes(o))
		o.Sent = time.Now()
		if err != nil {
			break
		}
		time.Sleep(time.Duration(rand.Int64N(int64(gap) + 1)))
	}
	var err error
	for _, o := range list {
		if err == nil {
			if err = o.read(conn.r); err == nil && o.Header.Get("Connection") == "close" {
				err = errClosedAhead
				o.Ended = time.Now()
				continue
			}
		}
		o.Ended, o.Err = time.Now(), err
	}
	if err != nil {
		c.drop()
	}
	for _, o := range list {
		c.seen.add(o)
	}
	return list
}

// errClosedAhead says that the answer before was the connection's last.
var errClosedAhead = errors.New("behind an answer that closes the connection")
