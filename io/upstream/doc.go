// Package upstream sends callers' requests to upstreams, over HTTP, and probes
// them.
//
// # Usage
//
//	c := upstream.NewClient()
//	resp, err := c.Send(ctx, target, shedStatuses, req)
//
// The verdict of an error states whether the request may have run. It is NotRun
// only on proof: no byte of the request was written to any connection, or the
// upstream responded with one of the service's shed statuses in the inventory.
package upstream
