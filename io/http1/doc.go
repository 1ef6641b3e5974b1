// Package http1 is the client's side of HTTP/1.1 connections (RFC 9112). Whatever reads responses
// reads them from a Conn, which lets two kinds of bytes pass for a response no longer than it takes to
// see them: a head outside the grammar, and a body that ends with its connection although the peer did
// not end it.
//
// A socket reports the error that ended it once, to the call that comes first. If a write of a
// request gets it, a read that follows returns the end of the stream, as after an orderly close. So a
// Conn returns io.EOF only if no write has been told of a reset.
//
// A Conn does not parse: it follows the heads of the responses to one request, interim ones
// included, and leaves their meaning, the framing of bodies, and what arrives between two requests to
// the reader.
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
