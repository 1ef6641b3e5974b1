package quarantine

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
	"auburnlatch/io/lifecycle"
)

const (
	// othersKeep is how long the first VM of an availability zone is given to have a ban
	// kept by the platform before each other one that knows of it does.
	othersKeep = 1500 * time.Millisecond
	// keepEvery is the least time between two tries to have bans kept, and
	// othersTryEvery that of all VMs but the first of each zone: calls are paid for, also
	// those that fail.
	keepEvery      = time.Second
	othersTryEvery = 5 * time.Second
	// unheardFor is the silence of a whole availability zone after which it may be cut
	// off from this VM and not from the platform, which is then asked for the zone's
	// bans: four heartbeats. With it a VM knows of them some 2.5 s after the cut, worked
	// out; asked always, each zone's first VM would call the platform once a second.
	unheardFor  = 2 * time.Second
	recallEvery = time.Second
	// reread is how often one VM reads the bans that operators may have lifted.
	reread = 30 * time.Second
	// callTimeout bounds a call to the platform.
	callTimeout = time.Second
)

// banKeeper keeps a copy of the bans on the platform.
type banKeeper struct {
	guard              *Guard
	recalledAt, keptAt time.Time
	recalled           bool
}

// loop recalls the bans at the start, and keeps new ones.
func (k *banKeeper) loop(ctx context.Context) {
	lifecycle.Every(ctx, tick, func(now time.Time) {
		k.recall(ctx, now)
		k.events(ctx, now)
		k.keep(ctx, now)
	})
}

// recall reads the bans where this VM may lack some that the platform has.
func (k *banKeeper) recall(ctx context.Context, now time.Time) {
	g := k.guard
	every, due := k.recallDue(now)
	if !due || now.Sub(k.recalledAt) < every {
		return
	}
	k.recalledAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	bans, err := g.keeper.Bans(ctx)
	if err != nil {
		g.log.WithField("Err", err).Info("BansNotRecalled")
		return
	}
	k.recalled = true
	g.ledger.Restore(time.Now(), bans)
	g.ledger.SetSynced()
}

// recallDue reports whether bans should be read, and how often.
func (k *banKeeper) recallDue(now time.Time) (every time.Duration, due bool) {
	g := k.guard
	k.recalled = k.recalled || g.ledger.Synced()
	switch {
	case !k.recalled:
		return recallEvery, true
	case g.fleet.HearsAllZones(now, unheardFor):
		return reread, g.ledger.Digest() != 0 && g.first(g.fleet.Live(now))
	default:
		return recallEvery, g.first(g.fleet.ZoneLive(now))
	}
}

// events logs what has been learned of bans, and has those that are over forgotten by
// the platform.
func (k *banKeeper) events(ctx context.Context, now time.Time) {
	g := k.guard
	var over []poison.Print
	for _, e := range g.ledger.TakeEvents() {
		f := logrus.Fields{"Print": e.Print, "At": time.UnixMilli(e.At).UTC().Format(time.RFC3339), "Ends": len(e.Ends), "Targets": strings.Join(e.Ends[:min(loggedPrints, len(e.Ends))], ",")}
		switch {
		case e.Dropped:
			over = append(over, e.Print)
			g.log.WithFields(f).Warn("BanForgotten")
		case e.Lifted:
			g.log.WithFields(f).Warn("RequestUnbanned")
		default:
			g.log.WithFields(f).Warn("RequestBanned")
		}
	}
	if len(over) == 0 || !g.first(g.fleet.Live(now)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.keeper.DropBans(ctx, over); err != nil {
		// A row that stays is dropped again by who reads it.
		g.log.WithField("Err", err).Info("BansNotDropped")
	}
}

// keep writes bans to the platform that it does not have. The first VM of each
// availability zone does at once, so that one that is cut off from the others does too;
// should it be lost, the others do a little later.
func (k *banKeeper) keep(ctx context.Context, now time.Time) {
	g := k.guard
	wait, every := time.Duration(0), keepEvery
	if !g.first(g.fleet.ZoneLive(now)) {
		wait, every = othersKeep, othersTryEvery
	}
	list := g.ledger.Unpersisted(now, wait)
	if len(list) == 0 || now.Sub(k.keptAt) < every {
		return
	}
	k.keptAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.keeper.KeepBans(ctx, list); err != nil {
		g.log.WithFields(logrus.Fields{"Bans": len(list), "Err": err}).Info("BansNotKept")
		return
	}
	g.ledger.Kept(time.Now(), list)
}
