package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"auburnlatch/core/overdue"
	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
	"auburnlatch/io/clock"
	"auburnlatch/io/lifecycle"
)

const (
	// readerCount is how many VMs, the readers, read the tables from the platform. They
	// read the upstreams again whenever their copy is readerPullAge old. The others pull
	// from a reader, or from a relay, whenever their copies are pullAge old. They read the
	// platform themselves only when their copies are as old as staleFraction of the bound
	// on leaving upstreams. So a reader that the platform refuses, or that hangs or crashes,
	// is replaced without a message, and the platform gets as many calls from 300 VMs as
	// from 10.
	readerCount   = 2
	readerPullAge = 500 * time.Millisecond
	pullAge       = 600 * time.Millisecond
	staleFraction = 0.45
	// pollTick is how often the age of a copy is checked.
	pollTick = 150 * time.Millisecond
	// longPollWait is how long the platform may hold back its response while the rules do
	// not change. If the connection hangs, the call fails longPollSlack later.
	longPollWait  = time.Second
	longPollSlack = 500 * time.Millisecond
	// longPollFraction bounds the wait as a fraction of RevokeWithin, where keys can be
	// revoked. verifyFraction is the age of the rules, also as a fraction of RevokeWithin,
	// at which a VM that is no reader asks the platform itself. It does so takeoverDelay
	// later for each VM that ranks before it, up to maxTakeoverRank.
	longPollFraction = 0.1
	verifyFraction   = 0.4
	takeoverDelay    = 80 * time.Millisecond
	maxTakeoverRank  = 12
	// callTimeout bounds a call to the platform that is no long poll.
	callTimeout = time.Second
	// retryPause is the pause after a failed call. Calls cost money, including those that
	// the platform refuses.
	retryPause = 700 * time.Millisecond
	// maxRetryPause bounds that pause for a VM that is no reader: it doubles with each
	// failure in a row. When the platform is back, a reader notices within retryPause and
	// the others learn of it from that reader. A VM that reaches no other notices up to
	// this much later. That is half of the least time after which a VM is expected to know
	// what the platform says.
	maxRetryPause = 1500 * time.Millisecond
)

// backoff is the pause after calls that failed in a row. The zero value is ready to use.
type backoff struct{ failures int }

// after returns the pause after a call.
func (b *backoff) after(err error, reader bool) time.Duration {
	if err == nil {
		b.failures = 0
		return 0
	}
	b.failures++
	if reader {
		return retryPause
	}
	return min(maxRetryPause, retryPause<<min(b.failures-1, 4))
}

// platformStatus logs when the platform becomes unavailable and when it is available again.
type platformStatus struct {
	log        *logrus.Entry
	lost       bool
	discarding bool
}

func (s *platformStatus) logChange(table string, err error) {
	switch {
	case err != nil && !s.lost:
		s.log.WithFields(logrus.Fields{"Table": table, "Err": err}).Warn("PlatformLost")
	case err == nil && s.lost:
		s.log.WithField("Table", table).Info("PlatformRegained")
	}
	s.lost = err != nil
}

// logDiscarded logs the first answer of several in a row that is older than the copy, and is
// discarded.
func (s *platformStatus) logDiscarded(have replica.Head, answer replica.Delta) {
	older := answer.To.Before(have)
	if older && !s.discarding {
		s.log.WithFields(logrus.Fields{
			"Table": have.Table, "Version": have.Version, "Era": have.Era, "AnswerVersion": answer.To.Version, "AnswerEra": answer.To.Era, "Whole": answer.Whole,
		}).Warn("AnswerDiscarded")
	}
	s.discarding = older
}

// rulesLoop keeps the copy of the rules up to date. A reader uses long polls.
func (v *VM) rulesLoop(ctx context.Context) {
	status, wait := &platformStatus{log: v.log}, &backoff{}
	v.awaitSeedCopies(ctx)
	for ctx.Err() == nil {
		now := time.Now()
		othersRead := len(v.cachedReaderAddrs(now)) > 0
		if !v.rulesDue(now, othersRead) {
			if !lifecycle.Sleep(ctx, pollTick) {
				return
			}
			continue
		}
		err := v.refresh(ctx, TableRules, v.rulesWait(othersRead), status)
		if ctx.Err() != nil {
			return
		}
		status.logChange(TableRules, err)
		if pause := wait.after(err, !othersRead); pause > 0 && !lifecycle.Sleep(ctx, pause) {
			return
		}
	}
}

// rulesDue reports whether this VM has to read the rules from the platform itself.
// othersRead says that other VMs are the readers.
func (v *VM) rulesDue(now time.Time, othersRead bool) bool {
	switch {
	case v.replicas[TableRules].Head(now).Age >= longPollWait+v.staleAge():
		return true
	case v.settling(now):
		return false
	case !othersRead:
		return true
	}
	return v.strict(v.table.Load()) && v.takeoverDue(now, v.rulesAge(clock.SinceBoot()))
}

// rulesWait is how long the platform may hold back its response about the rules. A
// response reflects the time of its request, so after a long poll it is as old as the wait.
func (v *VM) rulesWait(othersRead bool) time.Duration {
	switch {
	case !v.strict(v.table.Load()):
		return longPollWait
	case othersRead:
		return 0
	}
	return min(longPollWait, lifecycle.Share(v.cfg.Load().RevokeWithin, longPollFraction))
}

// targetsLoop keeps the copy of the table of upstreams up to date.
func (v *VM) targetsLoop(ctx context.Context) {
	status, wait := &platformStatus{log: v.log}, &backoff{}
	var nextRead, nextPull time.Time
	v.awaitSeedCopies(ctx)
	lifecycle.Every(ctx, pollTick, func(now time.Time) {
		age := v.replicas[TableTargets].Head(now).Age
		readers := v.cachedReaderAddrs(now)
		maxAge := v.staleAge()
		if len(readers) == 0 && !v.settling(now) {
			maxAge = readerPullAge
		} else if len(readers) > 0 && age >= relayAge && !now.Before(nextPull) {
			if sources, due := v.sources(now, age, readers); age >= due {
				nextPull = now.Add(due / 2)
				v.startExchanges(ctx, sources, 1, nil)
			}
		}
		if now.Before(nextRead) || age < maxAge {
			return
		}
		err := v.refresh(ctx, TableTargets, 0, status)
		if ctx.Err() != nil {
			return
		}
		status.logChange(TableTargets, err)
		nextRead = time.Now().Add(wait.after(err, len(readers) == 0))
	})
}

const (
	// seedCopiesTimeout is how long a VM waits for the copies of a seed when all VMs start
	// for the first time. Then only the seeds, three VMs, read the platform: 195 VMs that
	// read for themselves made some 2,000 calls before the first caller came. No callers
	// are expected for some seconds. A VM that received no copies by then reads for itself.
	seedCopiesTimeout = 2 * time.Second
	// settlePeriod is how long a VM that has started relies on the copies it has read
	// before it may consider itself a reader: two heartbeats, by which it knows the
	// other VMs.
	settlePeriod = 2 * heartbeat
)

// awaitSeedCopies waits, when all VMs start for the first time, until a seed has sent
// its copies. It returns at once on a seed, and on a VM that starts later, as its
// callers are already there.
func (v *VM) awaitSeedCopies(ctx context.Context) {
	cfg := v.cfg.Load()
	if !cfg.FirstStart || len(cfg.Seeds) == 0 || slices.Contains(cfg.Seeds, cfg.PeerAddr) {
		return
	}
	for time.Since(v.started) < seedCopiesTimeout && !v.hasCopies() {
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

// settling reports whether this VM may not know of the others yet.
func (v *VM) settling(now time.Time) bool { return now.Sub(v.started) < settlePeriod }

// staleAge is the age of the copy of the upstreams at which this VM reads the table
// from the platform itself.
func (v *VM) staleAge() time.Duration {
	return time.Duration(staleFraction * float64(v.cfg.Load().LeaveWithin))
}

// errOlderAnswer reports that the platform's answer is older than the copy.
var errOlderAnswer = errors.New("the answer is older than the copy")

// refresh brings a copy up to date from the platform. With a wait it is a long poll.
func (v *VM) refresh(ctx context.Context, name string, wait time.Duration, status *platformStatus) error {
	t := v.replicas[name]
	timeout := callTimeout
	if wait > 0 && t.Loaded() {
		timeout = wait + longPollSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started, asked := time.Now(), clock.SinceBoot()
	have := t.Head(started)
	d, err := v.fetch(ctx, have, wait)
	if err != nil {
		v.counts.platformErrors.Add(1)
		return err
	}
	status.logDiscarded(have, d)
	if d.To.Before(have) {
		v.counts.discarded.Add(1)
		return errOlderAnswer
	}
	now := time.Now()
	if wait == 0 {
		d.To.Age = now.Sub(started)
	}
	changed := t.Apply(now, d)
	t.Renew(d.To, asked)
	if changed {
		v.signalChange()
	}
	return nil
}

// fetch reads what the copy with a head lacks from the platform: the changes since its
// version, or the whole table if there are no such changes or they are of another era.
func (v *VM) fetch(ctx context.Context, have replica.Head, wait time.Duration) (replica.Delta, error) {
	if have.Age != replica.NeverConfirmed && !v.replicas[have.Table].Differs() {
		v.counts.platformCalls.Add(1)
		d, err := v.platform.Changes(ctx, have.Table, have.Version, wait)
		if err != nil && !errors.Is(err, ErrCompacted) || err == nil && d.To.Era == have.Era {
			return d, err
		}
	}
	v.counts.platformCalls.Add(1)
	return v.platform.Read(ctx, have.Table)
}

// era returns the newest era of the platform that this VM knows of. What VMs have written to
// the platform in an earlier era may be lost.
func (v *VM) era() uint64 {
	era := v.platform.Era()
	now := time.Now()
	for _, t := range v.replicas {
		era = max(era, t.Head(now).Era)
	}
	return era
}

// signalChange triggers applying the copies and pushing their changes to peers.
func (v *VM) signalChange() {
	for _, c := range []chan struct{}{v.changed, v.toPush} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// expiryTick is how often targets that change only with time are checked.
const expiryTick = 250 * time.Millisecond

// applyLoop applies the copies: requests are routed by the result.
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
			soon = time.After(expiryTick)
		}
	}
}

// apply applies the copies, and reports whether that has to be done again soon.
func (v *VM) apply(now time.Time) (soon bool) {
	if !v.replicas[TableRules].Loaded() {
		return false
	}
	// Read the time first: the rows are as of that time or newer.
	asOf, _ := v.replicas[TableRules].VerifiedAsOf()
	rules, changes, pending := v.readRules(now)
	if v.applyConfig(now, rules.Config) {
		v.applied.Store(&appliedRules{changes: changes, asOf: asOf})
	}
	if !v.replicas[TableTargets].Loaded() {
		return false
	}
	return v.applyTargets(now, rules.Evacuations) || pending
}

// applyConfig applies a configuration, and reports whether it, or a later one, is in force.
func (v *VM) applyConfig(now time.Time, cfg *route.Config) bool {
	old := v.table.Load()
	if cfg == nil || cfg == v.decoded.refused {
		return false
	}
	if old != nil && cfg.Version <= old.Config.Version {
		return true
	}
	table, err := route.NewTable(cfg)
	if err != nil {
		v.decoded.refused = cfg
		v.decoded.errors.log(now, v.log.WithFields(logrus.Fields{"Version": cfg.Version, "Err": bounded(err.Error())}), logrus.ErrorLevel, "ConfigRefused")
		return false
	}
	v.table.Store(table)
	v.forgetRoutes(cfg)
	v.replicas[TableRules].SetContent(cfg.Version)
	v.log.WithFields(logrus.Fields{"Version": cfg.Version, "Routes": len(cfg.Routes), "Services": len(cfg.Services)}).Info("ConfigInForce")
	return true
}

// forgetRoutes forgets what was learned about routes that a configuration does not have. They may
// come back as others under the same name, and names must not use memory forever.
func (v *VM) forgetRoutes(cfg *route.Config) {
	routes := make(map[string]*route.Route, len(cfg.Routes))
	for _, r := range cfg.Routes {
		routes[r.Name] = r
	}
	keep := func(name string) bool { return routes[name] != nil }
	v.balancer.KeepRoutes(keep)
	v.appointments.keepRoutes(keep)
	v.seconds.estimator.Keep(func(c overdue.Class) bool {
		r := routes[c.Route]
		return r != nil && r.Timeout == c.Timeout
	})
}

func (v *VM) applyTargets(now time.Time, ev target.Evacuations) (soon bool) {
	v.registry.Heartbeat = v.cfg.Load().UpstreamHeartbeat
	before := v.registry.Len()
	change, soon := v.registry.Update(now, v.readTargets(now), ev)
	v.balancer.ChangeTargets(change.Updated, change.Gone)
	ended := slices.Concat(change.Gone, v.registry.AtAddresses(change.Added))
	v.guard.RegistrationsChanged(v.workCtx, now, upstreamsOf(ended), upstreamsOf(change.Added))
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

// copiesLog logs when a copy has not been confirmed for so long that the bound on leaving
// upstreams may be missed, when it is confirmed again, when it enters another era, and when it has
// refused deltas of other VMs.
type copiesLog struct {
	log        *logrus.Entry
	stale      map[string]bool
	heads      map[string]replica.Head
	mismatches map[string]replica.Mismatches
}

func newCopiesLog(log *logrus.Entry) *copiesLog {
	return &copiesLog{log: log, stale: make(map[string]bool), heads: make(map[string]replica.Head), mismatches: make(map[string]replica.Mismatches)}
}

func (s *copiesLog) logChange(head replica.Head, m replica.Mismatches, bound time.Duration) {
	name := head.Table
	if old := s.mismatches[name]; m != old {
		s.mismatches[name] = m
		f := logrus.Fields{"Table": name, "Version": head.Version, "Gaps": m.Gaps - old.Gaps, "Differing": m.Differing - old.Differing}
		if m.Differing > old.Differing {
			s.log.WithFields(f).Error("CopiesDiffer")
		} else {
			s.log.WithFields(f).Info("CopyGap")
		}
	}
	if stale := head.Age > bound; stale != s.stale[name] {
		s.stale[name] = stale
		s.log.WithFields(logrus.Fields{"Table": name, "AgeMs": head.Age.Milliseconds(), "Stale": stale}).Warn("CopyStale")
	}
	if old := s.heads[name]; old.Era != head.Era && old.Version > 0 {
		s.log.WithFields(logrus.Fields{"Table": name, "Version": old.Version, "Era": old.Era, "NewVersion": head.Version, "NewEra": head.Era}).Warn("CopyRestored")
	}
	s.heads[name] = head
}

// targetsUnconfirmed reports whether the platform has not confirmed the copy of the upstreams
// for unconfirmedAge.
func (v *VM) targetsUnconfirmed(now time.Time) bool {
	return v.replicas[TableTargets].Head(now).Age > unconfirmedAge
}
