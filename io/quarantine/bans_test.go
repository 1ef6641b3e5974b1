package quarantine

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"auburnlatch/core/poison"
)

// memoryStore is a BanStore in memory.
type memoryStore struct {
	bans  map[poison.Print]poison.Ban
	era   uint64
	calls int
}

func (s *memoryStore) SaveBans(_ context.Context, bans []poison.Ban) error {
	s.calls++
	for _, b := range bans {
		s.bans[b.Print] = b
	}
	return nil
}

func (s *memoryStore) Bans(context.Context) (list []poison.Ban, err error) {
	s.calls++
	for _, b := range s.bans {
		list = append(list, b)
	}
	return list, nil
}

func (s *memoryStore) DeleteBans(context.Context, []poison.Print) error { return nil }

func (s *memoryStore) Era() uint64 { return s.era }

// zone is a Fleet of VMs that see each other.
type zone []string

func (z zone) Peers(time.Time) []string                   { return nil }
func (z zone) Departed(time.Time) []string                { return nil }
func (z zone) Live(time.Time) []string                    { return z }
func (z zone) ZoneLive(time.Time) []string                { return z }
func (z zone) SeesAllZones(time.Time, time.Duration) bool { return true }

// The platform's store comes back from a copy without the bans of its last seconds. One VM of
// each zone must store them again, or a VM that starts later sends the requests on. A ban that
// an operator has lifted again meanwhile must stay lifted.
func TestBansAreStoredAgainAfterRestore(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Now()
	lost, lifted := poison.Ban{Print: poison.Print{Head: 1}, At: now.UnixMilli()}, poison.Ban{Print: poison.Print{Head: 2}, At: now.UnixMilli()}
	store := &memoryStore{bans: make(map[poison.Print]poison.Ban)}
	fleet := zone{"a", "b", "c"}
	var syncers []*banSyncer
	for _, name := range fleet {
		g := New(name, fleet, store, nil, logrus.NewEntry(log))
		g.ledger.Restore(now, []poison.Ban{lost, lifted})
		syncers = append(syncers, &banSyncer{guard: g, loaded: true})
	}
	operators := lifted
	operators.Lifted = true
	store.era, store.bans[lifted.Print] = 1, operators
	for step := range 20 {
		for _, s := range syncers {
			at := now.Add(time.Duration(step) * tickInterval)
			s.checkEra(at)
			s.load(t.Context(), at)
			s.save(t.Context(), at)
		}
	}
	if _, ok := store.bans[lost.Print]; !ok {
		t.Error("the lost ban was not stored again")
	}
	if !store.bans[lifted.Print].Lifted {
		t.Error("the ban that an operator had lifted was stored again")
	}
	if store.calls > 2 {
		t.Errorf("%d calls, want one that reads and one that writes", store.calls)
	}
}
