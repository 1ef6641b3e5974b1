package wire_test

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnlatch/core/balance"
	"auburnlatch/io/wire"
	"auburnlatch/schema"
)

func TestEvidenceRoundTrip(t *testing.T) {
	list := []balance.Evidence{
		{Target: "a", Born: 7, SentAge: 2100 * time.Millisecond, Age: 40 * time.Millisecond},
		{Target: "b", Answered: true, SentAge: math.MaxUint32 * time.Millisecond},
		{Target: "c", Trial: true},
	}
	if got := wire.Evidence(wire.FromEvidence(list)); !reflect.DeepEqual(got, list) {
		t.Errorf("%+v, want %+v", got, list)
	}
}

// VMs of the build before know the fields of a Datagram up to 7. They must read the others, and
// this build their messages.
func TestEvidenceBesideOlderBuild(t *testing.T) {
	marshal := func(m *schema.Datagram) []byte {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	reports := []*schema.UpstreamReport{{Target: "a", Leaving: true}}
	old := marshal(&schema.Datagram{Upstreams: reports})
	both := marshal(&schema.Datagram{Upstreams: reports, Evidence: []*schema.UpstreamEvidence{{Target: "b"}}})
	// To an older build the rest is an unknown field.
	if !bytes.HasPrefix(both, old) {
		t.Errorf("an older build reads %x, want %x first", both, old)
	}
	var m schema.Datagram
	if err := proto.Unmarshal(old, &m); err != nil || len(wire.Evidence(m.GetEvidence())) != 0 || !wire.Reports(m.GetUpstreams())[0].Leaving {
		t.Errorf("older message: %+v, %v", &m, err)
	}
}
