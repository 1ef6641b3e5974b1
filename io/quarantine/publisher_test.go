package quarantine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
)

// growing is a Fleet whose peers become known one after the other.
type growing struct {
	zone
	peers, departed []string
}

func (g *growing) Peers(time.Time) []string { return g.peers }

func (g *growing) Departed(time.Time) []string { return g.departed }

// recorder is a sender that records the runs that each peer receives.
type recorder struct {
	runs    map[string]int
	senders []string
}

func (r *recorder) SendPoison(addrs []string, n poison.News) {
	for _, addr := range addrs {
		r.runs[addr] += len(n.Runs)
	}
}

func (*recorder) RequestPoison(...string) {}

func (*recorder) SendPoisonDigest(string) {}

func (r *recorder) PoisonSenders(time.Time) []string { return r.senders }

// newTestPublisher returns the publisher of a VM, and a function that has an upstream crash there.
func newTestPublisher(f Fleet, r *recorder, now time.Time) (p *publisher, crash func(target string)) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New("started", f, &memoryStore{}, nil, logrus.NewEntry(log))
	return &publisher{guard: g, peer: r}, func(target string) {
		g.ledger.ConnectionLost(now, poison.Run{Print: poison.Print{Head: 1}, Target: target, Began: now, Ended: now})
		g.ledger.Crashed(now, target)
	}
}

// Guards against crashes that most VMs never learn of, since the VM that saw them had just started
// and knew only one peer.
func TestPeersAreToldOfCrashesFromBeforeTheyWereKnown(t *testing.T) {
	now := time.Now()
	fleet, got := &growing{}, make(map[string]int)
	p, crash := newTestPublisher(fleet, &recorder{runs: got}, now)
	for step, peers := range [][]string{{"first"}, {"first", "second"}, {"second"}, {"first", "second"}} {
		fleet.peers = peers
		if step == 0 {
			p.publish(now)
			crash("i-1")
		}
		p.publish(now)
	}
	if got["first"] != 2 || got["second"] != 1 {
		t.Errorf("the runs that each peer received: %v, want one run for each time that a peer became known", got)
	}
	crash("i-2")
	p.publish(now)
	fleet.peers = append(fleet.peers, "late")
	p.publish(now.Add(time.Minute))
	if got["first"] != 3 || got["second"] != 2 || got["late"] != 0 {
		t.Errorf("the runs that each peer received: %v, want one more each, and none at a peer a minute later", got)
	}
}

// Guards against VMs that started again and found no other, and so learn of no crash, since the
// others take them for gone.
func TestVMsThatStartedAgainAreToldOfCrashes(t *testing.T) {
	now := time.Now()
	r := &recorder{runs: make(map[string]int)}
	p, crash := newTestPublisher(&growing{departed: []string{"again"}}, r, now)
	crash("i-1")
	p.publish(now)
	if r.runs["again"] != 1 {
		t.Errorf("a VM that ended lately received %d runs, want one", r.runs["again"])
	}
	r.senders = []string{"sender"}
	p.publish(now)
	if r.runs["sender"] != 1 {
		t.Errorf("a VM that is known only by its news received %d runs, want one", r.runs["sender"])
	}
}
