// Package http1 is the client's side of HTTP/1.1 connections (RFC 9112). All that reads responses
// reads them from a Conn, which rejects two things that net/http accepts: a head outside the
// grammar, and a body that ends with its connection although the peer did not close that in order.
//
// A socket reports its pending error once, to the first call. If that is a write of a request, the
// next read returns io.EOF, as after an orderly close. So a Conn returns io.EOF only if no write has
// failed with such an error.
//
// A Conn is no parser: it checks the heads of the responses to one request, including interim ones. The
// framing of bodies, and bytes that arrive between two requests, are left to the reader.
//
// # Usage
//
// With a parser of its own, which has read some bytes ahead:
//
//	c := http1.NewConn(raw)
//	if err := c.Begin(ahead); err != nil { ... } // Before each request.
//	resp, err := http.ReadResponse(bufio.NewReader(c), req)
//
// With net/http:
//
//	client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
package http1
