package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
	"auburnlatch/io/lifecycle"
	"auburnlatch/io/peer"
)

const (
	// tick is how often suspects are judged and what others may lack is looked at.
	tick = 200 * time.Millisecond
	// tellEvery is the least time between two tellings, so that those of one end travel
	// together. A request that ended an upstream comes again some hundred milliseconds
	// later at the soonest.
	tellEvery = 20 * time.Millisecond
	// compareEvery is how often a VM that knows of bans compares them with another's.
	compareEvery = 500 * time.Millisecond
	// askFor is how long a VM that has started asks others what they know, each askEvery:
	// until all others know it and tell it what is new.
	askFor   = 3 * time.Second
	askEvery = 500 * time.Millisecond
)

// teller tells other VMs under which requests upstreams end.
type teller struct {
	guard               *Guard
	peer                *peer.Datagrams
	comparedAt, askedAt time.Time
	dropped             poison.Dropped
}

// loop tells of what is new, and judges.
func (t *teller) loop(ctx context.Context) {
	g := t.guard
	look := time.NewTicker(tick)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.news:
		case now := <-look.C:
			t.look(now)
		}
		if n := g.ledger.TakeNews(); !n.Empty() {
			t.peer.TellPoison(g.fleet.Mates(time.Now()), n)
		}
		if !lifecycle.Sleep(ctx, tellEvery) {
			return
		}
	}
}

// look does what is due now and then.
func (t *teller) look(now time.Time) {
	g := t.guard
	g.ledger.Tick(now)
	if d := g.ledger.Counts().Dropped; d != t.dropped {
		t.dropped = d
		g.log.WithFields(logrus.Fields{
			"Runs": d.Runs, "Answered": d.Answered, "Upstreams": d.Upstreams, "Suspects": d.Suspects, "Ends": d.Ends, "Bans": d.Bans, "News": d.News,
		}).Warn("PoisonForgotten")
	}
	asks := !g.firstStart && now.Sub(g.started) < askFor && now.Sub(t.askedAt) >= askEvery
	compares := now.Sub(t.comparedAt) >= compareEvery && g.ledger.Digest() != 0
	if !asks && !compares {
		return
	}
	mates := g.fleet.Mates(now)
	if len(mates) == 0 {
		return
	}
	if asks {
		t.askedAt = now
		t.peer.AskPoison(mates[rand.IntN(len(mates))])
	}
	if compares {
		t.comparedAt = now
		t.peer.ComparePoison(mates[rand.IntN(len(mates))])
	}
}
