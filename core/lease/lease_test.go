package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/lease"
)

func Example() {
	var l lease.Lease
	asked := lease.Moment(100 * time.Second)
	// A peer replies that its state was verified two seconds ago.
	l.Renew(lease.AsOf(asked, 2*time.Second))
	fmt.Println(l.Age(asked + lease.Moment(time.Second)))
	// Output: 3s
}

func TestLease(t *testing.T) {
	var l lease.Lease
	if age := l.Age(5); age != lease.Never {
		t.Errorf("zero lease: age %v, want Never", age)
	}
	l.Renew(lease.AsOf(lease.Moment(time.Second), lease.Never))
	if age := l.Age(lease.Moment(time.Second)); age != lease.Never {
		t.Errorf("after a reply that was never verified: age %v, want Never", age)
	}
	l.Renew(lease.Moment(9 * time.Second))
	l.Renew(lease.Moment(3 * time.Second)) // A late reply.
	if age := l.Age(lease.Moment(10 * time.Second)); age != time.Second {
		t.Errorf("age %v, want 1s", age)
	}
}

func TestMillisRoundsUp(t *testing.T) {
	for age, want := range map[time.Duration]int64{0: 0, 1: 1, time.Millisecond: 1, time.Millisecond + 1: 2} {
		if got := lease.Millis(age); got != want {
			t.Errorf("%v: %d, want %d", age, got, want)
		}
	}
}

// fleet simulates VMs that renew their leases from the platform and from each other. Messages
// are delayed, lost or reordered, VMs are suspended between a query and its reply, and VMs
// restart. Times are steps; the key is revoked at one of them.
type fleet struct {
	rng     *rand.Rand
	now     lease.Moment
	revoked lease.Moment // 0: not yet.
	vms     []*vm
	// Mutations of the protocol, each of which the test has to detect.
	fromReply bool // The lease starts when the reply arrives.
	pushed    bool // State that arrives without a query counts as of its arrival.
}

// vm is the state of one VM.
type vm struct {
	knowsRevoked bool // That the key was revoked.
	verified     lease.Lease
	// queries are in flight, to the platform or to another VM.
	queries []query
	// suspended is until when the VM does nothing.
	suspended lease.Moment
}

type query struct {
	at, answeredAt, arrives lease.Moment
	to                      *vm // nil: the platform.
	answered                bool
	knowsRevoked            bool
	age                     time.Duration
}

func (f *fleet) step() {
	f.now++
	for _, v := range f.vms {
		if f.now < v.suspended {
			continue
		}
		switch f.rng.IntN(30) {
		case 0:
			v.suspended = f.now + lease.Moment(f.rng.IntN(40))
		case 1:
			*v = vm{} // It restarts.
		case 2, 3, 4, 5:
			q := query{at: f.now, answeredAt: f.now + lease.Moment(f.rng.IntN(15))}
			q.arrives = q.answeredAt + lease.Moment(f.rng.IntN(15))
			if f.rng.IntN(3) > 0 {
				q.to = f.vms[f.rng.IntN(len(f.vms))]
			}
			if f.rng.IntN(4) > 0 { // Otherwise it is lost.
				v.queries = append(v.queries, q)
			}
		}
		v.receive(f)
	}
}

// receive answers the VM's queries that are due, and applies the replies that have arrived.
func (v *vm) receive(f *fleet) {
	var pending []query
	for _, q := range v.queries {
		if !q.answered && f.now >= q.answeredAt && (q.to == nil || f.now >= q.to.suspended) {
			q.answered = true
			q.knowsRevoked, q.age = f.revoked != 0, 0
			if q.to != nil {
				q.knowsRevoked, q.age = q.to.knowsRevoked, q.to.verified.Age(f.now)
			}
		}
		if !q.answered || f.now < q.arrives {
			pending = append(pending, q)
			continue
		}
		v.knowsRevoked = v.knowsRevoked || q.knowsRevoked
		asked := q.at
		if f.fromReply {
			asked = f.now
		}
		v.verified.Renew(lease.AsOf(asked, q.age))
		if f.pushed {
			// The state is forwarded, and takes some time to arrive.
			other := f.vms[f.rng.IntN(len(f.vms))]
			other.verified.Renew(lease.AsOf(f.now, v.verified.Age(f.now-lease.Moment(f.rng.IntN(10)))))
		}
	}
	v.queries = pending
}

// admitsLate simulates a fleet and reports whether a VM admitted a request with the key that
// the caller sent later than the bound after the key was revoked.
func admitsLate(seed uint64, mutate func(*fleet)) bool {
	const bound = 50
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), vms: []*vm{{}, {}, {}, {}}}
	mutate(f)
	for range 400 {
		f.step()
		if f.now == 120 {
			f.revoked = f.now
		}
		for _, v := range f.vms {
			read := f.now // The request was sent then or before.
			if f.now >= v.suspended && !v.knowsRevoked && v.verified.Age(read) <= bound && f.revoked != 0 && read > f.revoked+bound {
				return true
			}
		}
	}
	return false
}

// A key is revoked while VMs are suspended, restart, query each other and the platform, and
// replies are delayed or lost. No VM may admit it later than the bound. A lease that starts when
// the reply arrives, or that counts unsolicited state as new, is detected within few runs.
func TestNoKeyIsAdmittedLate(t *testing.T) {
	const runs = 3000
	find := func(mutate func(*fleet)) bool {
		for seed := range uint64(runs) {
			if admitsLate(seed, mutate) {
				return true
			}
		}
		return false
	}
	if find(func(*fleet) {}) {
		t.Error("a key was admitted later than the bound after it was revoked")
	}
	if !find(func(f *fleet) { f.fromReply = true }) {
		t.Error("a lease that starts when the reply arrives was not detected")
	}
	if !find(func(f *fleet) { f.pushed = true }) {
		t.Error("a lease that counts unsolicited state as new was not detected")
	}
}
