package replica_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnlatch/core/replica"
)

var seeds = flag.Uint64("seeds", 1000, "number of plays of replicas and a platform")

// meaningBeforeBar is the meaning of values for sameBeforeBar.
func meaningBeforeBar(_ string, value []byte) []byte {
	for i, c := range value {
		if c == '|' {
			return value[:i]
		}
	}
	return value
}

// platformTable is a table of the platform with its history.
type platformTable struct {
	era, version uint64
	values       map[string]string
	changed      map[string]uint64 // The version of the last change of a key, also of a removed one.
}

// write changes a row; an empty value removes it.
func (p *platformTable) write(key, value string) {
	if _, ok := p.values[key]; !ok && value == "" {
		return
	}
	p.version++
	p.changed[key] = p.version
	if value == "" {
		delete(p.values, key)
		return
	}
	p.values[key] = fmt.Sprint(value, "|", p.version)
}

// feed returns the changes since a version: for each key only its present state.
func (p *platformTable) feed(from uint64) replica.Delta {
	d := replica.Delta{From: from, To: replica.Head{Version: p.version, Era: p.era}}
	for key, at := range p.changed {
		if at <= from {
			continue
		}
		if value, ok := p.values[key]; ok {
			d.Rows = append(d.Rows, row(key, value, at))
		} else {
			d.Rows = append(d.Rows, gone(key, at))
		}
	}
	return d
}

// read returns all rows.
func (p *platformTable) read() replica.Delta {
	d := replica.Delta{Whole: true, To: replica.Head{Version: p.version, Era: p.era}}
	for key, value := range p.values {
		d.Rows = append(d.Rows, row(key, value, p.changed[key]))
	}
	return d
}

// meanings returns the rows by their meaning.
func (p *platformTable) meanings() map[string]string {
	m := make(map[string]string)
	for key, value := range p.values {
		m[key] = string(meaningBeforeBar(key, []byte(value)))
	}
	return m
}

func meaningsOf(t *replica.Table) map[string]string {
	m := make(map[string]string)
	rows, _ := t.Rows()
	for _, r := range rows {
		if !r.Removed {
			m[r.Key] = string(meaningBeforeBar(r.Key, r.Value))
		}
	}
	return m
}

// history has the meaning of the platform's rows at each version, by era.
type history map[replica.Head]string

func (h history) note(p *platformTable) {
	h[replica.Head{Era: p.era, Version: p.version}] = fmt.Sprint(p.meanings())
}

// answer returns what a peer sends to one with the given head, as entry processes do, or false.
func answer(now time.Time, t *replica.Table, their replica.Head) (replica.Delta, bool) {
	own := t.Head(now)
	var d replica.Delta
	switch {
	case own.Before(their), own.Age == replica.NeverConfirmed:
		return d, false
	case own.Era != their.Era:
		d = t.Whole(now)
	case their.WantsWhole && own.Version > their.Version:
		d = t.All(now)
	default:
		d = t.Since(now, their.Version)
	}
	d.FromPeer = true
	return d, true
}

// checkCompleteness plays one seed: the platform changes, and replicas learn of it from the
// platform and from each other, late, twice and out of order. It returns the first thing that is
// wrong, or "".
func checkCompleteness(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 2))
	p := &platformTable{era: 1, values: make(map[string]string), changed: make(map[string]uint64)}
	h := make(history)
	p.write("k0", "0")
	h.note(p)
	tables := make([]*replica.Table, 2+r.IntN(4))
	for i := range tables {
		tables[i] = replica.NewTable("t", sameBeforeBar, replica.WithMeaning(meaningBeforeBar))
	}
	var late []replica.Delta
	now := start
	keys := 2 + r.IntN(6)
	for step := range 120 {
		now = now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
		if r.IntN(40) == 0 {
			now = now.Add(3 * time.Minute) // Tombstones expire.
		}
		for range r.IntN(3) {
			value := ""
			if r.IntN(3) > 0 {
				value = fmt.Sprint(r.IntN(2))
			}
			p.write(fmt.Sprint("k", r.IntN(keys)), value)
			h.note(p)
		}
		if r.IntN(100) == 0 { // The store comes back from an older copy.
			p.era++
			p.version -= min(p.version-1, uint64(r.IntN(3)))
			for key, at := range p.changed {
				p.changed[key] = min(at, p.version)
			}
			for key := range p.values {
				if r.IntN(4) == 0 {
					delete(p.values, key)
				}
			}
			h.note(p)
		}
		i := r.IntN(len(tables))
		t := tables[i]
		have := t.Head(now)
		switch r.IntN(5) {
		case 0: // From the platform.
			if have.Age != replica.NeverConfirmed && have.Era == p.era && r.IntN(8) > 0 && !t.Differs() {
				t.Apply(now, p.feed(have.Version))
			} else {
				t.Apply(now, p.read())
			}
		case 1: // A message that was delayed.
			if len(late) > 0 {
				t.Apply(now, late[r.IntN(len(late))])
			}
		default: // From a peer.
			if d, ok := answer(now, tables[r.IntN(len(tables))], have); ok {
				if r.IntN(3) == 0 {
					late = append(late, d)
				}
				if r.IntN(4) > 0 {
					t.Apply(now, d)
				}
			}
		}
		for j, t := range tables {
			head := t.Head(now)
			if head.Age == replica.NeverConfirmed {
				continue
			}
			if got, want := fmt.Sprint(meaningsOf(t)), h[replica.Head{Era: head.Era, Version: head.Version}]; got != want {
				return fmt.Sprintf("step %d: replica %d at version %d has %s, the platform had %s", step, j, head.Version, got, want)
			}
		}
	}
	// Once nothing changes any more, peers alone bring all to the newest version.
	tables[0].Apply(now, p.read())
	for range 3 {
		for _, t := range tables[1:] {
			if d, ok := answer(now, tables[0], t.Head(now)); ok {
				t.Apply(now, d)
			}
		}
	}
	for j, t := range tables {
		if head := t.Head(now); head.Version != p.version || fmt.Sprint(meaningsOf(t)) != fmt.Sprint(p.meanings()) {
			return fmt.Sprintf("in the end replica %d at version %d of %d has %v, the platform has %v", j, head.Version, p.version, meaningsOf(t), p.meanings())
		}
	}
	return ""
}

// Guards against replicas that claim a version and lack a change up to it.
func TestReplicaHasTheRowsOfItsVersion(t *testing.T) {
	failed := 0
	for seed := range *seeds {
		if wrong := checkCompleteness(seed); wrong != "" {
			if failed++; failed <= 3 {
				t.Errorf("seed %d: %s", seed, wrong)
			}
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d seeds failed", failed, *seeds)
	}
}

// Guards against removals that count as possibly lapsed since they came with all rows.
func TestAllTellsRemovalsFromLapses(t *testing.T) {
	source, behind := replica.NewTable("t", sameBeforeBar), replica.NewTable("t", sameBeforeBar)
	for _, tbl := range []*replica.Table{source, behind} {
		tbl.Apply(start, whole(5, row("a", "1", 3), row("b", "1", 4)))
	}
	source.Apply(start.Add(time.Second), changes(5, 8, gone("b", 8)))
	now := start.Add(time.Minute)
	d := source.All(now)
	d.FromPeer = true
	behind.Apply(now, d)
	rows, _ := behind.Rows()
	if len(rows) != 2 || !rows[1].Removed || rows[1].AfterGap {
		t.Errorf("got %+v, want b removed, and not after a gap", rows)
	}
}

// Guards against a copy with other rows at the same version that is never read again, or always.
func TestDifferingReplicaIsReadAgain(t *testing.T) {
	newTable := func(rows ...replica.Row) *replica.Table {
		tbl := replica.NewTable("t", sameBeforeBar, replica.WithMeaning(meaningBeforeBar))
		tbl.Apply(start, whole(5, rows...))
		return tbl
	}
	wrong, right := newTable(row("a", "1", 3)), newTable(row("a", "1", 3), row("b", "1", 4))
	hear := func(now time.Time) bool {
		d := wrong.Since(now, 5)
		d.FromPeer = true
		right.Apply(now, d)
		return right.Differs()
	}
	if !hear(start) {
		t.Fatal("other rows at the same version were not noticed")
	}
	right.Apply(start, whole(5, row("a", "1", 3), row("b", "1", 4)))
	if right.Differs() || hear(start.Add(time.Second)) {
		t.Error("a replica that was just read is to be read again")
	}
	if !hear(start.Add(time.Minute)) {
		t.Error("other rows were not noticed a minute later")
	}
	if got := right.Mismatches(); got != (replica.Mismatches{Differing: 3}) {
		t.Errorf("counted %+v", got)
	}
}
