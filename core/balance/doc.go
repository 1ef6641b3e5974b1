// Package balance chooses the upstream for each request: the owner of the request's object
// while it has room, else the first idle upstream in the object's preference order.
//
// An upstream that has handled an object recently needs a fraction of the work for the next
// request, so keeping an object at one upstream saves capacity. Each object has a preference
// order: all upstreams of a service, ranked by weighted rendezvous hashing of the object's key,
// with lower weights for distant upstreams. The VM that first receives a request for an object
// places it at the least filled of the first few targets of that order, its owner, and publishes
// the placement to the other VMs of its region. A VM that has not merged the others' placements
// yet uses the first target of the order as the owner. Only the first few targets are candidates:
// if a busy object spread over all upstreams, it would be new to each of them, which would slow
// all of them down and spread it further. Requests for which the owner has no room and no
// upstream is idle are refused immediately.
//
// What upstreams report in their responses takes precedence: one that is leaving gets no new
// requests, one that asks for a pause gets none until the pause is over, and one that names a
// rate limit gets no more than that from all VMs together, see package throttle.
//
// # Usage
//
//	b := balance.New(self, region, zone, balance.WithNews(signal))
//	b.SetTargets(targets)
//	b.MergePlacements(now, placements)               // Received from another VM.
//	b.SetSynced()                                    // Once all are merged.
//	lease, err := b.Choose(now, balance.Request{Service: "a", Route: "r", Key: key})
//	if b.Admit(now, lease) {                         // Right before the request is written.
//		...                                      // Send it to lease.Target.
//		b.Heard(now, lease, balance.Notice{...}) // From the response header.
//	}
//	b.Done(now, lease, balance.Outcome{...})
//	publish(b.News())                                // Placements made by this VM.
package balance
