// Package dispatch decides which upstream of its own availability zone runs a
// request, and when. It covers slots, the queue for them, upstream health and
// the retry budget.
//
// # Slots
//
// A request runs only while it holds a slot of one upstream. For each service
// a few of the zone's VMs are dispatchers, chosen by rendezvous hashing. They
// split the slots of each upstream in whole numbers (Share), and each grants
// only its own. A dispatcher whose share shrinks gives up the slots at once.
// One whose share grows must first make sure that no other VM holds them: it
// publishes the number it intends to hold, and starts to use it only when
// every other VM of the zone has acknowledged that publication and the slots
// held by all of them leave enough room (see Pool.Tick). The slots in use of
// an upstream therefore never exceed its total, however stale the VMs' views
// of each other are.
//
// # Usage
//
//	p := dispatch.NewPool("vm-a")
//	p.Tick(now, view)                  // On every heartbeat.
//	if target, ok := p.Offer(now, "istoric"); ok {
//		err := send(target)
//		p.Done(now, target, dispatch.Sample{Err: err, Took: took})
//	}
//	t, err := p.Queue(now, "istoric", until) // If Offer found no free slot.
//	target := <-t.Granted
//
// Every call takes the current time as an argument; the package reads no
// clock.
package dispatch
