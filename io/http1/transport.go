package http1

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// Transport is an http.Transport whose connections are Conns. It is an http.RoundTripper, and safe for
// concurrent use.
type Transport struct {
	http *http.Transport
}

// NewTransport returns a Transport with the settings of t, which must not be used otherwise. Connections
// are opened by its DialContext, and by a net.Dialer if that is nil.
func NewTransport(t *http.Transport) *Transport {
	d := &dialer{dial: t.DialContext, tls: t.TLSClientConfig}
	if d.dial == nil {
		d.dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = d.dialTCP
	if d.tls != nil {
		t.DialTLSContext = d.dialTLS
	}
	return &Transport{http: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.Send(req.Context(), req, func(*Conn, bool) {})
}

// Send sends a copy of req with the context ctx. got is called with each connection that it is to be sent on, and
// whether that was used before.
func (t *Transport) Send(ctx context.Context, req *http.Request, got func(c *Conn, reused bool)) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			_ = c.Begin(nil) // An error is returned by the next read.
			got(c, info.Reused)
		}
	}}
	return t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// CloseIdleConnections closes the connections that are idle.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// dialer opens connections for a Transport.
type dialer struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	tls  *tls.Config
}

func (d *dialer) dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return NewConn(raw), nil
}

func (d *dialer) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	cfg := d.tls.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	c := tls.Client(unendedConn{raw}, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return NewConn(c), nil
}

// errNoCloseNotify reports that a TLS connection was closed without a close_notify alert. A tls.Conn
// takes that for the end of the stream.
var errNoCloseNotify = errors.New("TLS connection closed without close_notify")

// unendedConn is the connection below a tls.Conn. Its end ends no stream.
type unendedConn struct{ net.Conn }

// Read implements net.Conn.
func (c unendedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = errNoCloseNotify
	}
	return n, err
}
