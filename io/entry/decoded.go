package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/replica"
	"auburnlatch/core/target"
)

// decoded caches the decoded rows of the rules' copy. Only applyLoop uses it. The zero
// value is ready to use.
type decoded struct {
	rules   Rules
	changes uint64 // The copy's count of changes; 0 if nothing has been decoded yet.
	pending bool   // The rules change with time alone.
}

// rewriteWithin is the time within which operators are expected to write again what a
// restored store has lost. It is shorter than the time within which a zone that is evacuated
// must get no more requests.
const rewriteWithin = 3 * time.Second

// readRules returns the rules and the copy's count of changes. pending reports whether the
// rules change with time alone.
func (v *VM) readRules(now time.Time) (rules Rules, changes uint64, pending bool, err error) {
	rows, changes := v.replicas[TableRules].Rows()
	if changes == v.decoded.changes && changes > 0 && !v.decoded.pending {
		return v.decoded.rules, changes, false, nil
	}
	rows, pending = replica.Settled(now, rows, rewriteWithin)
	rules, err = v.platform.Rules(rows)
	if err != nil {
		return Rules{}, 0, false, err
	}
	v.decoded = decoded{rules, changes, pending}
	return rules, changes, pending, nil
}

// readTargets returns the registrations that changed since the last call, or all of them
// if the mapping of zones to regions changed. A row that cannot be decoded is logged, and
// an earlier registration of its key is removed.
func (v *VM) readTargets() []target.Registration {
	rows, forgotten := v.replicas[TableTargets].Changed()
	if regions := v.cfg.Load().Regions; !maps.Equal(regions, v.registry.Regions) {
		v.registry.Regions = regions
		rows, _ = v.replicas[TableTargets].Rows()
	}
	list := make([]target.Registration, 0, len(rows)+len(forgotten))
	for _, row := range rows {
		list = append(list, v.decode(row))
	}
	for _, key := range forgotten {
		list = append(list, target.Registration{ID: key, Removed: true})
	}
	return list
}

func (v *VM) decode(row replica.Row) target.Registration {
	reg, err := v.platform.Registration(row)
	if err != nil {
		v.log.WithFields(logrus.Fields{"Target": row.Key, "Version": row.Version, "Err": err}).Warn("RegistrationNotDecoded")
		return target.Registration{ID: row.Key, Removed: true}
	}
	return reg
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
