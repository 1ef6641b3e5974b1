// Package steer decides where traffic goes: which VMs a caller is told to use
// (Lookups), how a service's traffic is best distributed over the availability
// zones (Solve), how fast the distribution may change (Row), and which zone the
// next request goes to (Row.Pick).
//
// # The cap
//
// A service's traffic from one origin zone is a distribution over the zones
// that serve it. Every VM keeps the distribution in use for each (service,
// origin) in a Row and moves it towards the wanted one. A Row never moves by
// more than the cap within any window of a minute by the VM's own clock. It
// needs no coordination for that: the traffic of many VMs is a weighted mean of
// their rows, so it stays within the cap too, even during partitions, pauses
// and outages.
//
// # Usage
//
//	wanted := steer.Solve(problem)
//	row.Move(now, wanted, limit)
//	zone := row.Pick()
//
// Functions take the current time as an argument; the package reads no clock.
package steer
