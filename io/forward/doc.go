// Package forward sends callers' requests from one VM to another over HTTP. It
// also holds what both ends of a request path share: which header fields are
// passed from hop to hop, and how a response is relayed.
//
// Requests are sent over HTTP and not over drpc, because bodies must stream in
// both directions with flow control by the reader, and a VM without a free slot
// must be able to refuse before the body is sent. HTTP with Expect: 100-continue
// has both; see docs/design/crossing.md.
//
// # Usage
//
//	c := forward.NewClient()
//	resp, err := c.Send(ctx, vm, forward.Meta{Service: "istoric", Mode: forward.Offer}, req)
//	forward.Relay(w, r, resp)
package forward

import "time"

// Mode determines how the receiving VM serves a request.
type Mode string

const (
	// Zone serves the request by any dispatcher of the receiver's zone.
	Zone Mode = "Zone"
	// Offer serves the request on a free slot of the receiver, or refuses it.
	Offer Mode = "Offer"
	// Queue serves the request on a slot of the receiver, waiting for one if
	// none is free.
	Queue Mode = "Queue"
)

// Meta is sent with a request from one VM to another, in header fields.
type Meta struct {
	Service string
	// Origin is the caller's zone.
	Origin string
	Mode   Mode
	// Deadline of the request. It is sent as the remaining time, because the
	// clocks of VMs differ.
	Deadline time.Time
	// Print is the text form of a poison.Request: the fingerprint by which a
	// repeated request is recognized, and whether this is an exclusive trial. It is
	// empty if the fingerprint is not known.
	Print string
}
