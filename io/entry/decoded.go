package entry

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/replica"
	"auburnlatch/core/route"
	"auburnlatch/core/target"
)

// decoded caches the decoded rows of the rules' copy. Only applyLoop uses it. The zero
// value is ready to use.
type decoded struct {
	rules   Rules
	changes uint64 // The copy's count of changes; 0 if nothing has been decoded yet.
	pending bool   // The rules change with time alone.
	// refused is the configuration that was refused last. It is not tried again.
	refused *route.Config
	errors  decodeErrors
}

// rewriteWithin is the time within which operators are expected to write again what a
// restored store has lost. It is shorter than the time within which a zone that is evacuated
// must get no more requests.
const rewriteWithin = 3 * time.Second

// readRules returns the rules and the copy's count of changes. pending reports whether the
// rules change with time alone. Rules that cannot be decoded are logged. They have no
// configuration: the one in force stays.
func (v *VM) readRules(now time.Time) (rules Rules, changes uint64, pending bool) {
	rows, changes := v.replicas[TableRules].Rows()
	d := &v.decoded
	if changes == d.changes && changes > 0 && !d.pending {
		return d.rules, changes, false
	}
	rows, pending = replica.Settled(now, rows, rewriteWithin)
	rules, err := v.platform.Rules(rows)
	if err != nil {
		rules.Config = nil
		d.errors.log(now, v.log.WithField("Err", bounded(err.Error())), logrus.ErrorLevel, "RulesNotDecoded")
	}
	d.rules, d.changes, d.pending = rules, changes, pending
	return rules, changes, pending
}

// readTargets returns the registrations that changed since the last call, or all of them
// if the mapping of zones to regions changed. A row that cannot be decoded is logged, and
// an earlier registration of its key is removed.
func (v *VM) readTargets(now time.Time) []target.Registration {
	rows, forgotten := v.replicas[TableTargets].Changed()
	if regions := v.cfg.Load().Regions; !maps.Equal(regions, v.registry.Regions) {
		v.registry.Regions = regions
		rows, _ = v.replicas[TableTargets].Rows()
	}
	list := make([]target.Registration, 0, len(rows)+len(forgotten))
	for _, row := range rows {
		list = append(list, v.decode(now, row))
	}
	for _, key := range forgotten {
		list = append(list, target.Registration{ID: key, Removed: true})
	}
	return list
}

func (v *VM) decode(now time.Time, row replica.Row) target.Registration {
	reg, err := v.platform.Registration(row)
	if err == nil {
		return reg
	}
	if !row.Removed {
		f := logrus.Fields{"Target": bounded(row.Key), "Version": row.Version, "Err": bounded(err.Error())}
		v.decoded.errors.log(now, v.log.WithFields(f), logrus.WarnLevel, "RegistrationNotDecoded")
	}
	return target.Registration{ID: row.Key, Removed: true}
}

const (
	// maxDecodeErrors is how many lines about rows that cannot be decoded a VM writes a second
	// at most.
	maxDecodeErrors = 10
	// maxRowText is how many bytes of a row, or of its key, a line has at most.
	maxRowText = 200
)

// decodeErrors bounds the lines about rows that cannot be decoded: another writer may write any
// number of them, again and again. The zero value is ready to use.
type decodeErrors struct {
	since   time.Time // When the second began.
	lines   int       // In that second.
	dropped int       // Since the last line.
}

// log writes a line, with the number of those dropped before it, or drops it.
func (e *decodeErrors) log(now time.Time, entry *logrus.Entry, level logrus.Level, event string) {
	if now.Sub(e.since) >= time.Second {
		e.since, e.lines = now, 0
	}
	if e.lines >= maxDecodeErrors {
		e.dropped++
		return
	}
	e.lines++
	if e.dropped > 0 {
		entry = entry.WithField("Dropped", e.dropped)
		e.dropped = 0
	}
	entry.Log(level, event)
}

// bounded returns the beginning of text that comes from a row.
func bounded(text string) string {
	if len(text) <= maxRowText {
		return text
	}
	return strings.ToValidUTF8(text[:maxRowText], "") + "..."
}

// registered is the set of registered incarnations. The zero value is ready to use: the
// table of upstreams is not known yet.
type registered struct {
	mu    sync.RWMutex
	names map[string]bool // nil while the table of upstreams is not known.
}

// change adds and removes incarnations.
func (r *registered) change(added, gone []*target.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names == nil {
		r.names = make(map[string]bool)
	}
	for _, t := range gone {
		delete(r.names, t.Incarnation())
	}
	for _, t := range added {
		r.names[t.Incarnation()] = true
	}
}

// known reports whether the table of upstreams is known.
func (r *registered) known() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names != nil
}

// count returns the number of registered incarnations.
func (r *registered) count() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.names)
}

// has reports whether an incarnation is registered. It returns true while the table is not known.
func (r *registered) has(incarnation string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names == nil || r.names[incarnation]
}
