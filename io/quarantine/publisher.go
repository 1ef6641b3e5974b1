package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
	"auburnlatch/io/lifecycle"
)

const (
	// tickInterval is how often suspects are judged, and how often the VM checks whether
	// to exchange state with a peer or the platform.
	tickInterval = 200 * time.Millisecond
	// publishInterval is the minimum time between two publications, so that the news of one
	// crash is sent together. A request that crashed an upstream is sent again some
	// hundred milliseconds later at the earliest.
	publishInterval = 20 * time.Millisecond
	// compareInterval is how often a VM that knows of bans compares them with those of a
	// peer.
	compareInterval = 500 * time.Millisecond
	// startupPulls is how long after its start a VM requests all that a peer knows, once
	// every pullInterval. After that, all peers know the VM and send it their news.
	startupPulls = 3 * time.Second
	pullInterval = 500 * time.Millisecond
	// newsRetention is how long news is kept for peers that become known: as long as it takes
	// until a VM that has started knows all of them.
	newsRetention = startupPulls
)

// sender sends to other VMs, by their addresses.
type sender interface {
	SendPoison(addrs []string, n poison.News)
	RequestPoison(addrs ...string)
	SendPoisonDigest(addr string)
	// PoisonSenders returns the VMs that have sent news lately.
	PoisonSenders(now time.Time) []string
}

// publisher publishes this VM's news of crashes, suspects and bans to its peers.
type publisher struct {
	guard                *Guard
	peer                 sender
	comparedAt, pulledAt time.Time
	dropped              poison.Dropped
	recent               []sentNews
	// informed are the peers that have been sent the recent news.
	informed map[string]bool
}

// sentNews is news and when it was sent.
type sentNews struct {
	news poison.News
	at   time.Time
}

// loop publishes news and does the periodic work, until ctx ends.
func (p *publisher) loop(ctx context.Context) {
	g := p.guard
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.newsReady:
		case now := <-ticker.C:
			p.tick(now)
		}
		p.publish(time.Now())
		if !lifecycle.Sleep(ctx, publishInterval) {
			return
		}
	}
}

// publish sends the news to all peers, and that of the last newsRetention to those that this VM
// has not known before: a VM that has just started may know one peer when it sees crashes, and the
// others only later.
func (p *publisher) publish(now time.Time) {
	known, added := p.peers(now)
	p.recent = slices.DeleteFunc(p.recent, func(n sentNews) bool { return now.Sub(n.at) > newsRetention })
	for _, n := range p.recent {
		p.peer.SendPoison(added, n.news)
	}
	if n := p.guard.ledger.TakeNews(); !n.Empty() {
		p.peer.SendPoison(slices.Concat(known, added, p.guard.fleet.Departed(now)), n)
		n.Tried = nil // They have other results by the time that they are sent again.
		p.recent = append(p.recent, sentNews{n, now})
	}
}

// peers returns the addresses of the peers, those that this VM did not know at the last call apart.
// A VM that has just started knows some of them only by their news.
func (p *publisher) peers(now time.Time) (known, added []string) {
	informed := make(map[string]bool)
	for _, addr := range slices.Concat(p.guard.fleet.Peers(now), p.peer.PoisonSenders(now)) {
		if informed[addr] {
			continue
		}
		informed[addr] = true
		if p.informed[addr] {
			known = append(known, addr)
		} else {
			added = append(added, addr)
		}
	}
	p.informed = informed
	return known, added
}

// tick does the periodic work: it judges suspects, logs what the Ledger discarded for lack
// of room, and asks a random peer for its state or compares bans with it.
func (p *publisher) tick(now time.Time) {
	g := p.guard
	g.ledger.Tick(now)
	if d := g.ledger.Counts().Dropped; d != p.dropped {
		p.dropped = d
		g.log.WithFields(logrus.Fields{
			"Runs": d.Runs, "Answered": d.Answered, "Upstreams": d.Upstreams, "Suspects": d.Suspects, "Ends": d.Ends, "Bans": d.Bans, "News": d.News,
		}).Warn("PoisonForgotten")
	}
	pullDue := !g.firstStart && now.Sub(g.started) < startupPulls && now.Sub(p.pulledAt) >= pullInterval
	compareDue := now.Sub(p.comparedAt) >= compareInterval && g.ledger.Digest() != 0
	if !pullDue && !compareDue {
		return
	}
	peers := g.fleet.Peers(now)
	if len(peers) == 0 {
		return
	}
	if pullDue {
		p.pulledAt = now
		p.peer.RequestPoison(peers[rand.IntN(len(peers))])
	}
	if compareDue {
		p.comparedAt = now
		p.peer.SendPoisonDigest(peers[rand.IntN(len(peers))])
	}
}
