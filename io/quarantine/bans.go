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
	// fallbackDelay is how long a ban may be known without being stored on the platform
	// before the VMs that are not designated for their availability zone store it too.
	fallbackDelay = 1500 * time.Millisecond
	// saveInterval is the minimum time between two attempts to store bans, and
	// fallbackInterval that of VMs that are not designated for their zone: platform calls
	// cost money, even those that fail.
	saveInterval     = time.Second
	fallbackInterval = 5 * time.Second
	// zoneSilence is the silence of a whole availability zone, four heartbeats, after which
	// this VM may be partitioned from the zone but not from the platform. It then reads
	// the zone's bans from the platform, and has them about 2.5 s after the partition
	// began. Without this condition, the designated VM of each zone would call the platform
	// once a second.
	zoneSilence  = 2 * time.Second
	loadInterval = time.Second
	// rereadInterval is how often one VM reads the bans, as operators may have lifted some.
	rereadInterval = 30 * time.Second
	// callTimeout bounds a call to the platform.
	callTimeout = time.Second
)

// banSyncer keeps the bans of this VM and those stored on the platform in sync.
type banSyncer struct {
	guard             *Guard
	loadedAt, savedAt time.Time
	loaded            bool
	era               uint64 // The era in which the platform has the bans.
	// reload says that the bans have to be read again before any are stored.
	reload bool
}

// loop loads the bans at the start and stores new ones, until ctx ends.
func (s *banSyncer) loop(ctx context.Context) {
	lifecycle.Every(ctx, tickInterval, func(now time.Time) {
		s.checkEra(now)
		s.load(ctx, now)
		s.logEvents(ctx, now)
		s.save(ctx, now)
	})
}

// checkEra has the designated VM of each availability zone store all bans again that are
// missing on the platform after it was restored. What is there is kept: operators may have
// lifted bans.
func (s *banSyncer) checkEra(now time.Time) {
	g := s.guard
	era := g.store.Era()
	if era == s.era || !g.designated(g.fleet.ZoneLive(now)) {
		return
	}
	s.era = era
	s.reload = g.ledger.MarkLost()
}

// load reads the bans from the platform if this VM may lack some of them.
func (s *banSyncer) load(ctx context.Context, now time.Time) {
	g := s.guard
	interval, due := s.loadDue(now)
	if !due || now.Sub(s.loadedAt) < interval {
		return
	}
	s.loadedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	bans, err := g.store.Bans(ctx)
	if err != nil {
		g.log.WithField("Err", err).Info("BansNotRecalled")
		return
	}
	s.loaded, s.reload = true, false
	g.ledger.Restore(time.Now(), bans)
	g.ledger.SetSynced()
}

// loadDue reports whether this VM should read the bans, and at which interval.
func (s *banSyncer) loadDue(now time.Time) (interval time.Duration, due bool) {
	g := s.guard
	s.loaded = s.loaded || g.ledger.Synced()
	switch {
	case !s.loaded || s.reload:
		return loadInterval, true
	case g.fleet.SeesAllZones(now, zoneSilence):
		return rereadInterval, g.ledger.Digest() != 0 && g.designated(g.fleet.Live(now))
	default:
		return loadInterval, g.designated(g.fleet.ZoneLive(now))
	}
}

// logEvents logs bans that were learned of, lifted or dropped, and deletes the dropped ones
// from the platform.
func (s *banSyncer) logEvents(ctx context.Context, now time.Time) {
	g := s.guard
	var dropped []poison.Print
	for _, e := range g.ledger.TakeEvents() {
		f := logrus.Fields{"Print": e.Print, "At": time.UnixMilli(e.At).UTC().Format(time.RFC3339), "Ends": len(e.Ends), "Targets": strings.Join(e.Ends[:min(maxLogged, len(e.Ends))], ",")}
		switch {
		case e.Dropped:
			dropped = append(dropped, e.Print)
			g.log.WithFields(f).Warn("BanForgotten")
		case e.Lifted:
			g.log.WithFields(f).Warn("RequestUnbanned")
		default:
			g.log.WithFields(f).Warn("RequestBanned")
		}
	}
	if len(dropped) == 0 || !g.designated(g.fleet.Live(now)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.store.DeleteBans(ctx, dropped); err != nil {
		// A row that remains is deleted by the VM that next reads it.
		g.log.WithField("Err", err).Info("BansNotDropped")
	}
}

// save stores bans that the platform lacks. The designated VM of each availability zone
// does so at once, so that a partitioned zone stores its bans too. If that VM is lost, the
// others do so after fallbackDelay.
func (s *banSyncer) save(ctx context.Context, now time.Time) {
	g := s.guard
	delay, interval := time.Duration(0), saveInterval
	if !g.designated(g.fleet.ZoneLive(now)) {
		delay, interval = fallbackDelay, fallbackInterval
	}
	list := g.ledger.Unpersisted(now, delay)
	if len(list) == 0 || s.reload || now.Sub(s.savedAt) < interval {
		return
	}
	s.savedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.store.SaveBans(ctx, list); err != nil {
		g.log.WithFields(logrus.Fields{"Bans": len(list), "Err": err}).Info("BansNotKept")
		return
	}
	g.ledger.Kept(time.Now(), list)
}
