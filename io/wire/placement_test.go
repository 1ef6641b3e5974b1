package wire_test

import (
	"slices"
	"testing"

	"auburnlatch/core/balance"
	"auburnlatch/io/wire"
)

var placements = []balance.Placement{
	{Service: "s", Route: "r", Object: 1, Target: "a", Version: 1},
	{Service: "s", Route: "r", Object: 2, Target: "a", Born: 7, Version: 3},
	{Service: "s", Route: "q", Object: 1, Target: "b", Version: 2},
	{Service: "s", Route: "r", Object: 3, Target: "a", Version: 9},
}

func TestPackPlacements(t *testing.T) {
	data, err := wire.PackPlacements(placements)
	if err != nil {
		t.Fatal(err)
	}
	got, err := wire.UnpackPlacements(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range placements {
		if !slices.Contains(got, p) {
			t.Errorf("%+v is missing from %+v", p, got)
		}
	}
	if len(got) != len(placements) {
		t.Errorf("%d placements, want %d", len(got), len(placements))
	}
	if none, err := wire.UnpackPlacements(nil); err != nil || len(none) != 0 {
		t.Errorf("UnpackPlacements(nil) = %v, %v, want no placements", none, err)
	}
}

// Any content of the platform's row must be decoded or rejected with an error.
func FuzzUnpackPlacements(f *testing.F) {
	data, err := wire.PackPlacements(placements)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x0a\x03no"))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := wire.UnpackPlacements(data)
		if err != nil && len(list) > 0 {
			t.Errorf("%d placements from corrupt data", len(list))
		}
	})
}
