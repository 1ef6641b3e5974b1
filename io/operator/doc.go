// Package operator provides the operators' interface of a VM, JSON over HTTP, and
// its client.
//
// # Interface
//
//	GET  /inventory              the inventory in force
//	POST /changes[?insist=true]  makes a change; 409 lists conflicting changes
//	GET  /status                 zones, versions in force and load
//	GET  /dump                   the inputs and results of this VM's decisions
//	GET  /explain?client=&service=  why a caller gets its VMs and upstreams
//	GET  /claims                 claims that are not settled
//	POST /claims/resolve         settles a claim
//	GET  /debug/vars             metrics (expvar)
//
// The interface has its own address. If the settings name certificates, it accepts
// only TLS with client certificates. Without certificates, everybody who can reach the
// address can use it, so the address should be on a network for operators only.
//
// # Usage
//
//	c, err := operator.NewClient("127.0.0.1:7103", nil)
//	inv, err := c.Inventory(ctx)
package operator
