// Package callers selects the VMs that look-ups name to callers.
//
// Callers spread evenly over the VMs that a look-up names. If every VM of a large
// region were named, a VM would rarely have an open connection to the upstream that
// it needs: with 65 VMs, 560 requests per second and 900 upstreams, a VM sends to
// the same upstream again after 100 s, when its idle connection has long been
// closed, and four of five requests open a new one. So only as many VMs are named
// as can carry the region's traffic several times over, those with the highest
// bandwidth and the most processor time first.
//
// # Usage
//
//	m := &callers.Meter{}
//	m.Add(bytes)                        // For each request.
//	vm.Traffic = m.Traffic(now)         // On each heartbeat; published to all VMs.
//	named := callers.Named(regionVMs)   // For a look-up.
package callers
