package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"auburnlatch/core/verdict"
	"auburnlatch/io/upstream"
)

// expectThreshold is the body size, in bytes, above which a request is sent with
// Expect: 100-continue.
const expectThreshold = 16 << 10

// Client sends requests to other VMs. It is safe for concurrent use.
type Client struct {
	http *upstream.Client
}

// NewClient returns a client with its own connection pool.
func NewClient(opts ...upstream.Option) *Client { return &Client{http: upstream.NewClient(opts...)} }

// Send sends a request to the VM at addr. If the VM refuses the request, the
// error has the verdict of the refusal; if the connection fails, the verdict
// follows from how much was sent.
func (c *Client) Send(ctx context.Context, addr string, meta Meta, req *http.Request) (*http.Response, error) {
	out := req.Clone(ctx)
	out.URL.Path = "/" + meta.Service + req.URL.Path
	if req.URL.RawPath != "" {
		out.URL.RawPath = "/" + meta.Service + req.URL.RawPath
	}
	out.Header.Set(headerMode, string(meta.Mode))
	out.Header.Set(headerOrigin, meta.Origin)
	if meta.Print != "" {
		out.Header.Set(headerPrint, meta.Print)
	}
	out.Header.Set(HeaderTimeout, strconv.FormatInt(time.Until(meta.Deadline).Milliseconds(), 10))
	if LargeBody(req) {
		out.Header.Set("Expect", "100-continue")
	}
	resp, err := c.http.RoundTrip(ctx, addr, out)
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(headerRefused) == "" {
		return resp, nil
	}
	defer resp.Body.Close()
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return nil, verdict.New(
		verdict.Parse(resp.Header.Get(HeaderVerdict)),
		verdict.Reason(resp.Header.Get(HeaderReason)),
		time.Duration(seconds)*time.Second,
	)
}

// LargeBody reports whether the receiver should confirm a request, by Expect:
// 100-continue, before its body is sent: the body is large or of unknown length.
func LargeBody(req *http.Request) bool {
	return req.ContentLength > expectThreshold || (req.ContentLength < 0 && req.Body != nil && req.Body != http.NoBody)
}
