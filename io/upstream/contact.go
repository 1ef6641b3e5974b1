package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/core/reach"
)

// maxHealthBody bounds how much of the response to a health check is read, in bytes.
const maxHealthBody = 4 << 10

// Check is a request that shows whether an upstream responds and that it does not run.
type Check struct {
	// Path is that of its health checks.
	Path string
	// Header has the field by which any upstream rejects the request.
	Header http.Header
}

// Contact attempts to have the wanted contact with an upstream on a new connection, until ctx ends,
// and returns the one that it had. For reach.Heard it sends a check; any response counts. A
// connection that can carry requests is kept for reuse.
func (p *Pool) Contact(ctx context.Context, target, addr string, check Check, wanted reach.Contact) reach.Contact {
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return reach.None
	}
	p.opened.Add(1)
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	c := newConn(raw)
	if wanted == reach.Heard {
		return p.contactByCheck(ctx, target, c, addr, check, stop)
	}
	// Once it is idle a request may be sent on it, and it must not be closed any more.
	if stop() {
		c.usedAt, c.keepAlive = time.Now(), defaultKeepAlive
		p.pushIdle(target, c)
	}
	return reach.Accepted
}

// Contact is like Pool.Contact for an upstream of the inventory. No connection is kept.
func (c *Client) Contact(ctx context.Context, t *inventory.Target, wanted reach.Contact) reach.Contact {
	if wanted == reach.Heard {
		if _, err := c.probe(ctx, t, nil); err == nil {
			return reach.Heard
		}
	}
	raw, err := c.dial(ctx, "tcp", t.Addr)
	if err != nil {
		return reach.None
	}
	defer raw.Close()
	switch {
	case wanted == reach.Accepted:
		return reach.Accepted
	case staysOpen(raw):
		return reach.Open
	default:
		return reach.None
	}
}

// contactByCheck sends a check on a new connection. stop keeps the end of ctx from closing it, and
// returns false if that is too late.
func (p *Pool) contactByCheck(ctx context.Context, target string, c *conn, addr string, check Check, stop func() bool) reach.Contact {
	resp, err := c.check(addr, check, int(p.maxHeader.Load()))
	p.countHeader(err)
	switch {
	case resp != nil:
		if stop() {
			p.keep(target, c, resp)
		}
		return reach.Heard
	case ctx.Err() != nil:
		return reach.Open
	default:
		c.Close()
		return reach.None
	}
}

// check sends a check and reads the response, whose header has up to maxHeader bytes. With a
// response, an error is that of its body.
func (c *conn) check(addr string, check Check, maxHeader int) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+check.Path, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range check.Header {
		req.Header[name] = values
	}
	if err := req.Write(c); err != nil {
		return nil, err
	}
	if err := c.beginHeader(maxHeader); err != nil {
		return nil, err
	}
	resp, err := c.readHeader(req)
	c.header.end()
	if err != nil {
		return nil, err
	}
	switch _, err = io.CopyN(io.Discard, resp.Body, maxHealthBody); err {
	case io.EOF:
		return resp, nil
	case nil:
		resp.Close = true // There is more.
		return resp, nil
	default:
		resp.Close = true // What follows is no body.
		return resp, err
	}
}

// reusableAfter reports whether a connection may carry a request after a response that has been read.
func reusableAfter(c *conn, resp *http.Response) bool {
	return !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0) && c.r.Buffered() == 0
}

// keep keeps the connection of a response that has been read for reuse, if it may be reused.
func (p *Pool) keep(target string, c *conn, resp *http.Response) {
	if !reusableAfter(c, resp) {
		c.Close()
		return
	}
	c.usedAt, c.keepAlive = time.Now(), keepAliveFor(resp.Header)
	p.pushIdle(target, c)
}
