// Package model is a discrete-event simulation of a service under load: callers, VMs
// and upstreams run in simulated time without a network, and requests are balanced by
// the production code.
//
// An upstream has slots and a bounded queue, and caches the objects it served
// last: a request for a cached object takes a fraction of the work. It may be slow in
// spells, as upstreams are that share their machines. Callers request
// objects of their own region at a rate that changes by phases, and cancel at their
// deadline. VMs choose upstreams by a Policy. BalancerPolicy uses the production
// Balancer, one for each VM, which learns only from the responses to its own requests
// and from the placements that its peers publish. The other policies are baselines for
// comparison and not in production.
//
// # Usage
//
//	shape := model.Shape{Regions: 1, VMs: 10, Targets: 16, Slots: 4, ...}
//	phases := []model.Phase{{Length: 30 * time.Second, PerSecond: 517}}
//	r := model.Simulate(shape, model.NewBalancerPolicy(shape), seed, phases)
//	share := r.InTime(15, 30)
package model
