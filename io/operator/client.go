package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"auburnlatch/core/inventory"
	"auburnlatch/io/http1"
	"auburnlatch/io/settings"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

const clientTimeout = 15 * time.Second

// Client calls the operators' interface of one VM.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the VM at addr, IP:port. If t is nil, it uses no TLS.
func NewClient(addr string, t *settings.TLS) (*Client, error) {
	c := &Client{base: "http://" + addr, http: &http.Client{Timeout: clientTimeout, Transport: http1.NewTransport(&http.Transport{})}}
	if t == nil {
		return c, nil
	}
	cfg, err := tlsConfig(t)
	if err != nil {
		return nil, err
	}
	c.base = "https://" + addr
	c.http.Transport = http1.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{
		Certificates: cfg.Certificates, RootCAs: cfg.RootCAs, MinVersion: tls.VersionTLS13,
	}})
	return c, nil
}

// CallError reports that the VM rejected a call.
type CallError struct {
	Status int
	Reply  *schema.OperatorError
}

// Error implements error.
func (e *CallError) Error() string { return e.Reply.GetError() }

// Inventory returns the inventory in force at the VM.
func (c *Client) Inventory(ctx context.Context) (*inventory.Inventory, error) {
	m := &schema.Inventory{}
	if err := c.get(ctx, "/inventory", m); err != nil {
		return nil, err
	}
	return wire.Inventory(m)
}

// Apply sends a change and returns the version that it created. With insist, the
// change may leave services without a target in use.
func (c *Client) Apply(ctx context.Context, change inventory.Change, insist bool) (uint64, error) {
	m := &schema.ApplyReply{}
	err := c.post(ctx, fmt.Sprintf("/changes?insist=%t", insist), wire.FromChange(change), m)
	return m.GetVersion(), err
}

// Status returns the VM's view of all zones.
func (c *Client) Status(ctx context.Context) (*schema.Status, error) {
	m := &schema.Status{}
	return m, c.get(ctx, "/status", m)
}

// Dump returns the VM's whole state.
func (c *Client) Dump(ctx context.Context) (*schema.Dump, error) {
	m := &schema.Dump{}
	return m, c.get(ctx, "/dump", m)
}

// Explain returns why a caller with an IP address gets its VMs and upstreams.
func (c *Client) Explain(ctx context.Context, client, service string) (*schema.Explanation, error) {
	m := &schema.Explanation{}
	q := url.Values{"client": {client}, "service": {service}}
	return m, c.get(ctx, "/explain?"+q.Encode(), m)
}

// Claims returns the claims that are not settled.
func (c *Client) Claims(ctx context.Context) (*schema.ClaimList, error) {
	m := &schema.ClaimList{}
	return m, c.get(ctx, "/claims", m)
}

// Resolve settles a claim.
func (c *Client) Resolve(ctx context.Context, r *schema.ResolveClaim) error {
	return c.post(ctx, "/claims/resolve", r, &schema.ResolveClaim{})
}

func (c *Client) get(ctx context.Context, path string, into proto.Message) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

func (c *Client) post(ctx context.Context, path string, m, into proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.call(ctx, http.MethodPost, path, data, into)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into proto.Message) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	opts := protojson.UnmarshalOptions{DiscardUnknown: true}
	if resp.StatusCode != http.StatusOK {
		e := &CallError{Status: resp.StatusCode, Reply: &schema.OperatorError{}}
		if err := opts.Unmarshal(data, e.Reply); err != nil {
			return errors.Newf("call: status %d without an error message", resp.StatusCode)
		}
		return e
	}
	return errors.Wrap(opts.Unmarshal(data, into), "decode response")
}
