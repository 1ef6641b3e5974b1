// Package route routes one request from its entry VM to the upstream that runs
// it: it picks the zone, finds a dispatcher with a free slot, sends the request
// and releases the slot when the response has been read. The decision at each
// step is made by the core packages.
//
// # Usage
//
//	r := &route.Router{Self: "vm-a", Zone: "ro-nord-1", Pool: pool, ...}
//	resp, err := r.Enter(ctx, req)             // A caller's request.
//	resp, err := r.Serve(ctx, meta, httpReq)   // A request from another VM.
//
// The response's body must be closed; the slot is held until the body is read to
// its end or closed.
package route
