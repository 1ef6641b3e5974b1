package wire_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/poison"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

func poisonPrint(uri string) poison.Print { return (&poison.Content{URI: uri}).Print() }

// The clocks of VMs differ, so times of runs are sent as ages.
func TestPoisonNewsRoundTrip(t *testing.T) {
	sent, arrived := start, start.Add(time.Hour) // By the receiver's clock.
	ban := poison.Ban{Print: poisonPrint("/b"), At: 1234, Lifted: true}
	news := poison.News{
		Runs:   []poison.Run{{Print: poisonPrint("/a"), Target: "i-1@7", Began: sent.Add(-300 * time.Millisecond), Ended: sent.Add(-100 * time.Millisecond), Alone: true, Over: true}},
		Served: []poison.Clearance{{Print: poisonPrint("/c"), Began: sent.Add(-200 * time.Millisecond), Answered: sent.Add(-150 * time.Millisecond)}}, Tried: []poison.TrialUpdate{{Print: poisonPrint("/d"), Target: "i-2"}},
		Bans: []poison.Ban{ban}, Kept: []poison.Ban{ban},
	}
	got := wire.Poison(arrived, wire.FromPoison(sent, news))
	news.Runs[0].Began, news.Runs[0].Ended = arrived.Add(-300*time.Millisecond), arrived.Add(-100*time.Millisecond)
	news.Served[0].Began, news.Served[0].Answered = arrived.Add(-200*time.Millisecond), arrived.Add(-150*time.Millisecond)
	if !reflect.DeepEqual(got, news) {
		t.Errorf("received %+v, want %+v", got, news)
	}
}

// Any host that can send a datagram to a VM can forge crashes and bans. They must not crash
// the VM, nor give it a ban that does not expire.
func FuzzPoison(f *testing.F) {
	good, err := proto.Marshal(wire.FromPoison(start, poison.News{
		Runs: []poison.Run{{Print: poisonPrint("/a"), Target: "i-1", Began: start, Ended: start}},
		Bans: []poison.Ban{{Print: poisonPrint("/b"), At: start.UnixMilli()}},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		var m schema.PoisonNews
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		l := poison.NewLedger()
		l.MergeNews(start, wire.Poison(start, &m))
		l.Tick(start.Add(time.Second))
		for _, b := range l.Bans() {
			if _, refused := l.Admit(start.Add(time.Second), b.Print); refused != nil && refused.RetryAfter > 25*time.Hour {
				t.Errorf("a ban of %v", refused.RetryAfter)
			}
		}
	})
}
