package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/io/clock"
	"auburnlatch/io/lifecycle"
)

const (
	// watchers read the tables from the platform; the others ask a watcher, or a
	// relay, whenever their copies are askAge old, and read for themselves only when
	// these are staleShare of the bound on leaving upstreams old. So whoever the
	// platform turns away, freezes or dies is replaced without a word, and the
	// platform is asked as often whether there are 10 VMs or 300.
	watchers   = 2
	watchAge   = 500 * time.Millisecond
	askAge     = 600 * time.Millisecond
	staleShare = 0.45
	// pollTick is how often the age of a copy is looked at.
	pollTick = 150 * time.Millisecond
	// watchWait is how long the platform may hold back the answer about rules
	// that do not change. A watch whose connection went silent is noticed
	// watchSlack after.
	watchWait  = time.Second
	watchSlack = 500 * time.Millisecond
	// watchShare is how long that may be, of RevokeWithin, where keys can be taken away,
	// and sureShare how old the certainty about the rules may become before a VM that is no
	// watcher asks the platform, askTurn later for each VM that comes before it.
	watchShare = 0.1
	sureShare  = 0.4
	askTurn    = 80 * time.Millisecond
	askTurns   = 12
	// callTimeout bounds a call to the platform that is not held back.
	callTimeout = time.Second
	// afterFailure is the pause after a failed call: calls are paid for, also
	// those that are turned away.
	afterFailure = 700 * time.Millisecond
	// afterFailures bounds that pause for a VM that others read for: it doubles with
	// each failure in a row. When the platform is there again, a watcher notices
	// within afterFailure and tells the others; one that hears nobody has the
	// platform back for this long before it notices, half of the least time after
	// which it is held to know what the platform says.
	afterFailures = 1500 * time.Millisecond
)

// backoff is the pause after calls that failed in a row. The zero value is ready.
type backoff struct{ failures int }

// after returns the pause after a call.
func (b *backoff) after(err error, watcher bool) time.Duration {
	if err == nil {
		b.failures = 0
		return 0
	}
	b.failures++
	if watcher {
		return afterFailure
	}
	return min(afterFailures, afterFailure<<min(b.failures-1, 4))
}

// dependency logs when the platform is lost and when it is there again.
type dependency struct {
	log  *logrus.Entry
	lost bool
}

func (d *dependency) note(table string, err error) {
	switch {
	case err != nil && !d.lost:
		d.log.WithFields(logrus.Fields{"Table": table, "Err": err}).Warn("PlatformLost")
	case err == nil && d.lost:
		d.log.WithField("Table", table).Info("PlatformRegained")
	}
	d.lost = err != nil
}

// rulesLoop keeps the copy of the rules up to date. A watcher has the platform
// hold its answer back until something changes.
func (v *VM) rulesLoop(ctx context.Context) {
	dep, wait := &dependency{log: v.log}, &backoff{}
	v.awaitOthers(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		others := len(v.currentWatchers(now)) > 0
		if !v.rulesDue(now, others) {
			if !lifecycle.Sleep(ctx, pollTick) {
				return
			}
			continue
		}
		err := v.refresh(ctx, TableRules, v.rulesWait(others))
		if ctx.Err() != nil {
			return
		}
		dep.note(TableRules, err)
		if pause := wait.after(err, !others); pause > 0 && !lifecycle.Sleep(ctx, pause) {
			return
		}
	}
}

// rulesDue reports whether this VM has to ask the platform for the rules itself.
func (v *VM) rulesDue(now time.Time, others bool) bool {
	switch {
	case v.replicas[TableRules].Head(now).Age >= watchWait+v.staleAge():
		return true
	case v.settling(now):
		return false
	case !others:
		return true
	}
	return v.strict(v.table.Load()) && v.unsureTurn(now, v.rulesAge(clock.SinceBoot()))
}

// rulesWait is how long the platform may hold back its answer about the rules. The answer
// says what was so when it was asked for, so one that is waited for is as old as that.
func (v *VM) rulesWait(others bool) time.Duration {
	switch {
	case !v.strict(v.table.Load()):
		return watchWait
	case others:
		return 0
	}
	return min(watchWait, lifecycle.Share(v.cfg.Load().RevokeWithin, watchShare))
}

// targetsLoop keeps the copy of the table of upstreams up to date.
func (v *VM) targetsLoop(ctx context.Context) {
	dep, wait := &dependency{log: v.log}, &backoff{}
	var notBefore, askNotBefore time.Time
	v.awaitOthers(ctx)
	lifecycle.Every(ctx, pollTick, func(now time.Time) {
		age := v.replicas[TableTargets].Head(now).Age
		watchers := v.currentWatchers(now)
		maxAge := v.staleAge()
		if len(watchers) == 0 && !v.settling(now) {
			maxAge = watchAge
		} else if len(watchers) > 0 && age >= relayAge && !now.Before(askNotBefore) {
			if sources, due := v.sources(now, age, watchers); age >= due {
				askNotBefore = now.Add(due / 2)
				v.startExchanges(ctx, sources, 1, nil)
			}
		}
		if now.Before(notBefore) || age < maxAge {
			return
		}
		err := v.refresh(ctx, TableTargets, 0)
		if ctx.Err() != nil {
			return
		}
		dep.note(TableTargets, err)
		notBefore = time.Now().Add(wait.after(err, len(watchers) == 0))
	})
}

const (
	// firstCopies is how long a VM waits for others' copies where all start for the
	// first time. The seeds read the platform, three VMs in place of all: 195 that
	// read for themselves made some 2,000 calls before the first caller came. Callers
	// are not due for some seconds. A VM that has heard no seed by then reads for itself.
	firstCopies = 2 * time.Second
	// settleFor is how long a VM that has started goes by the copies that it has read
	// before it takes itself for one that reads for all: two heartbeats, by which it
	// has heard of the others.
	settleFor = 2 * heartbeat
)

// awaitOthers waits, where all VMs start for the first time, until a seed has handed
// its copies over. It returns at once on a seed, and on any VM that starts later: its
// callers are there.
func (v *VM) awaitOthers(ctx context.Context) {
	cfg := v.cfg.Load()
	if !cfg.FirstStart || len(cfg.Seeds) == 0 || slices.Contains(cfg.Seeds, cfg.PeerAddr) {
		return
	}
	for time.Since(v.started) < firstCopies && !v.hasCopies() {
		if !lifecycle.Sleep(ctx, pollTick) {
			return
		}
	}
}

// hasCopies reports whether there is a copy of each table.
func (v *VM) hasCopies() bool {
	for _, t := range v.replicas {
		if !t.Loaded() {
			return false
		}
	}
	return true
}

// settling reports whether this VM cannot have heard of the others yet.
func (v *VM) settling(now time.Time) bool { return now.Sub(v.started) < settleFor }

// staleAge is how old the copy of the upstreams may become before this VM reads
// it itself.
func (v *VM) staleAge() time.Duration {
	return time.Duration(staleShare * float64(v.cfg.Load().LeaveWithin))
}

// refresh brings a copy up to date from the platform. With a wait the answer
// is held back until something changes.
func (v *VM) refresh(ctx context.Context, name string, wait time.Duration) error {
	t := v.replicas[name]
	timeout := callTimeout
	if wait > 0 && t.Loaded() {
		timeout = wait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started, asked := time.Now(), clock.SinceBoot()
	var d replica.Delta
	err := ErrHistory
	if t.Loaded() {
		d, err = v.platform.Changes(ctx, name, t.Head(started).Version, wait)
	}
	if errors.Is(err, ErrHistory) {
		d, err = v.platform.Read(ctx, name)
	}
	v.counts.platformCalls.Add(1)
	if err != nil {
		v.counts.platformErrors.Add(1)
		return err
	}
	now := time.Now()
	if wait == 0 {
		d.To.Age = now.Sub(started)
	}
	changed := t.Apply(now, d)
	t.Renew(d.To.Version, asked)
	if changed {
		v.signalChange()
	}
	return nil
}

// signalChange has the copies looked at again, and their changes handed on.
func (v *VM) signalChange() {
	for _, c := range []chan struct{}{v.changed, v.toPush} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// lapseTick is how often targets that change by time alone are looked at.
const lapseTick = 250 * time.Millisecond

// applyLoop turns the copies into what requests are carried by.
func (v *VM) applyLoop(ctx context.Context) {
	var soon <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.changed:
		case <-soon:
		}
		soon = nil
		if v.apply(time.Now()) {
			soon = time.After(lapseTick)
		}
	}
}

// apply takes the copies into use, and reports whether that has to be done
// again soon.
func (v *VM) apply(now time.Time) (soon bool) {
	if !v.replicas[TableRules].Loaded() {
		return false
	}
	// The moment is asked for first: the rows are as new as that or newer.
	asOf, _ := v.replicas[TableRules].VerifiedAsOf()
	rules, changes, err := v.readRules()
	if err != nil {
		v.log.WithField("Err", err).Error("RulesNotDecoded")
		return false
	}
	if v.applyConfig(rules.Config) {
		v.ruled.Store(&ruledCopy{changes: changes, asOf: asOf})
	}
	if !v.replicas[TableTargets].Loaded() {
		return false
	}
	return v.applyTargets(now, rules.Evacuations)
}

// applyConfig takes a configuration into use, and reports whether it, or a later one, is.
func (v *VM) applyConfig(cfg *route.Config) bool {
	old := v.table.Load()
	if cfg == nil {
		return false
	}
	if old != nil && cfg.Version <= old.Config.Version {
		return true
	}
	table, err := route.NewTable(cfg)
	if err != nil {
		v.log.WithFields(logrus.Fields{"Version": cfg.Version, "Err": err}).Error("ConfigRefused")
		return false
	}
	v.table.Store(table)
	v.log.WithFields(logrus.Fields{"Version": cfg.Version, "Routes": len(cfg.Routes), "Services": len(cfg.Services)}).Info("ConfigInForce")
	return true
}

func (v *VM) applyTargets(now time.Time, ev target.Evacuations) (soon bool) {
	v.registry.Heartbeat = v.cfg.Load().UpstreamHeartbeat
	before := v.registry.Len()
	change, soon := v.registry.Update(now, v.readTargets(), ev)
	v.balancer.ChangeTargets(change.Updated, change.Gone)
	ended := slices.Concat(change.Gone, v.registry.AtAddresses(change.Added))
	v.guard.Replaced(v.work, now, incarnations(ended), incarnations(change.Added))
	first := !v.targets.known()
	v.targets.change(change.Added, change.Gone)
	if first {
		close(v.loaded)
	}
	if n := v.registry.Len(); first || n != before {
		v.log.WithFields(logrus.Fields{"Targets": n, "Evacuated": len(ev.Zones)}).Info("TargetsInForce")
	}
	return soon
}

// staleCopies logs when a copy has not been confirmed for so long that the
// bound on leaving upstreams may not be kept, and when it is confirmed again.
type staleCopies struct {
	log   *logrus.Entry
	stale map[string]bool
}

func (s *staleCopies) note(name string, age, bound time.Duration) {
	if stale := age > bound; stale != s.stale[name] {
		s.stale[name] = stale
		s.log.WithFields(logrus.Fields{"Table": name, "AgeMs": age.Milliseconds(), "Stale": stale}).Warn("CopyStale")
	}
}

// behind reports whether the platform has not confirmed a copy for a while.
func (v *VM) behind(now time.Time) bool {
	return v.replicas[TableTargets].Head(now).Age > behindAge
}
