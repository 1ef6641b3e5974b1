// Package balance chooses the upstream of each request: the one that the request's
// object belongs to, while it has room, else a fixed next one.
//
// Affinity is capacity: an upstream that knows an object needs a fraction of the
// work. Each object's key ranks all upstreams of a service by weighted rendezvous
// hashing, shifted by how far away they are; this is the object's order. The VM that
// first asks for an object gives it a place, at the emptiest of the first few of its
// order, and the VMs of a region tell each other of places. A VM that has not heard
// of others' places yet goes by the order alone. Only the first few count: were a
// busy object to spread over all upstreams, it would be new to each of them, which
// makes all slower, which spreads more. What has no room there goes to an upstream
// that is clearly idle, or is refused at once.
//
// What upstreams say of themselves in answers goes before all of that: one that leaves gets
// nothing new, one that asks for a pause nothing until it is over, and one that names a limit
// no more than that of all VMs together, see package throttle.
//
// # Usage
//
//	b := balance.New(self, region, zone, balance.WithNews(signal))
//	b.SetTargets(targets)
//	b.Told(now, placements)      // What another VM tells; Join once all is told.
//	b.Join()
//	lease, err := b.Choose(now, balance.Request{Service: "a", Route: "r", Key: key})
//	if b.Admit(now, lease) {     // Right before the request is written.
//		...                  // Send it to lease.Target.
//		b.Heard(now, lease, balance.Notice{...}) // What the answer's header says.
//	}
//	b.Done(now, lease, balance.Outcome{...})
//	tell(b.News())               // What was placed here.
package balance
