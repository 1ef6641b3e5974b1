package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/member"
	"auburnlatch/io/http1"
	"auburnlatch/schema"
)

// Limits of the client.
const (
	defaultTimeout = 2 * time.Second
	maxReply       = 64 << 20
	maxConns       = 16
	// headerEra is the header field of responses about rows with the table's era.
	headerEra = "Table-Era"
)

// ErrNotFound is returned for an object or a row that does not exist.
var ErrNotFound = errors.New("not found")

// Client calls one platform. It is safe for concurrent use.
type Client struct {
	base       string
	timeout    time.Duration
	dial       Dial // nil: that of a net.Dialer.
	http       *http.Client
	answeredAt atomic.Int64
	era        atomic.Uint64 // See Era.
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// WithDial sets the function that opens connections.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// New returns a client of the platform at the base URL.
func New(base string, opts ...Option) *Client {
	c := &Client{base: base, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	c.http = &http.Client{Transport: http1.NewTransport(&http.Transport{
		DialContext: c.dial, MaxConnsPerHost: maxConns, MaxIdleConnsPerHost: maxConns, IdleConnTimeout: time.Minute,
	})}
	return c
}

// AnsweredAt returns when the platform last responded successfully, or the zero time
// if it never did.
func (c *Client) AnsweredAt() time.Time {
	if n := c.answeredAt.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Era returns the highest era of the table that a response named; see CommitResult.
func (c *Client) Era() uint64 { return c.era.Load() }

// noteEra returns the era of a response, 0 if it names none.
func (c *Client) noteEra(h http.Header) uint64 {
	era, err := strconv.ParseUint(h.Get(headerEra), 10, 64)
	if err != nil {
		return 0
	}
	for {
		newest := c.era.Load()
		if era <= newest || c.era.CompareAndSwap(newest, era) {
			return era
		}
	}
}

// Commit runs one transaction: either all writes are applied or none.
func (c *Client) Commit(ctx context.Context, writes []Write) (CommitResult, error) {
	req := &schema.CommitRequest{}
	for _, w := range writes {
		req.Writes = append(req.Writes, &schema.TableWrite{Key: w.Key, If: w.If, Value: w.Value, Delete: w.Delete})
	}
	reply := &schema.CommitReply{}
	era, err := c.call(ctx, "commit", http.MethodPost, "/table/commit", req, reply)
	if err != nil {
		return CommitResult{}, err
	}
	return CommitResult{Version: reply.GetVersion(), Conflicts: rows(reply.GetConflicts(), era), Era: era}, nil
}

// Get reads one row. A row that does not exist has version 0.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	reply := &schema.TableRow{}
	era, err := c.call(ctx, "get", http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, reply)
	if err != nil {
		return Row{}, err
	}
	return Row{Key: key, Version: reply.GetVersion(), Value: reply.GetValue(), Era: era}, nil
}

// Scan reads up to limit rows whose key begins with prefix and is greater than after, in
// order of keys.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	reply := &schema.ScanReply{}
	era, err := c.call(ctx, "scan", http.MethodGet, "/table/scan?"+q.Encode(), nil, reply)
	if err != nil {
		return nil, err
	}
	return rows(reply.GetRows(), era), nil
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, _, err := c.roundTrip(ctx, "put object", http.MethodPut, "/objects/"+url.PathEscape(name), data)
	return err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, _, err := c.roundTrip(ctx, "get object", http.MethodGet, "/objects/"+url.PathEscape(name), nil)
	return data, err
}

// VMs reads the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]member.ListedVM, error) {
	reply := &schema.VmList{}
	if _, err := c.call(ctx, "list VMs", http.MethodGet, "/vms", nil, reply); err != nil {
		return nil, err
	}
	list := make([]member.ListedVM, 0, len(reply.GetVms()))
	for _, vm := range reply.GetVms() {
		list = append(list, member.ListedVM{Name: vm.GetName(), Zone: vm.GetZone(), Peer: vm.GetPeerAddr(), Leaving: vm.GetLeaving()})
	}
	return list, nil
}

func rows(list []*schema.TableRow, era uint64) []Row {
	out := make([]Row, 0, len(list))
	for _, r := range list {
		out = append(out, Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Era: era})
	}
	return out
}

// call makes a call and returns the era of the response.
func (c *Client) call(ctx context.Context, op, method, path string, req, reply proto.Message) (era uint64, err error) {
	var body []byte
	if req != nil {
		if body, err = protojson.Marshal(req); err != nil {
			return 0, &Error{Op: op, Err: err}
		}
	}
	data, era, err := c.roundTrip(ctx, op, method, path, body)
	if err != nil {
		return 0, err
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, reply); err != nil {
		return 0, &Error{Sent: true, Op: op, Err: err}
	}
	return era, nil
}

func (c *Client) roundTrip(ctx context.Context, op, method, path string, body []byte) (data []byte, era uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &Error{Op: op, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, &Error{Sent: !dialFailed(err), Op: op, Err: err}
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, 0, &Error{Sent: true, Op: op, Err: err}
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, 0, &Error{Op: op, Err: ErrNotFound}
	case resp.StatusCode == http.StatusServiceUnavailable:
		// The platform guarantees that it did nothing.
		return nil, 0, &Error{Op: op, Err: errors.Newf("status %d", resp.StatusCode)}
	case resp.StatusCode != http.StatusOK:
		return nil, 0, &Error{Sent: true, Op: op, Err: errors.Newf("status %d", resp.StatusCode)}
	}
	c.answeredAt.Store(time.Now().UnixNano())
	return data, c.noteEra(resp.Header), nil
}

// dialFailed reports whether the call failed before a connection was open.
// A call that failed later may have been sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
