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
	peers []string
}

func (g *growing) Peers(time.Time) []string { return g.peers }

// received is a sender that records the runs that each peer receives.
type received map[string]int

func (r received) SendPoison(addrs []string, n poison.News) {
	for _, addr := range addrs {
		r[addr] += len(n.Runs)
	}
}

func (received) RequestPoison(...string) {}

func (received) SendPoisonDigest(string) {}

// Guards against crashes that most VMs never learn of, since the VM that saw them had just started
// and knew only one peer.
func TestPeersAreToldOfCrashesFromBeforeTheyWereKnown(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Now()
	fleet, got := &growing{peers: []string{"first"}}, make(received)
	g := New("started", fleet, &memoryStore{}, nil, logrus.NewEntry(log))
	p := &publisher{guard: g, peer: got}
	crash := func(target string) {
		g.ledger.ConnectionLost(now, poison.Run{Print: poison.Print{Head: 1}, Target: target, Began: now, Ended: now})
		g.ledger.Crashed(now, target)
	}
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
