package platform_test

import (
	"net/http/httptest"
	"slices"
	"testing"

	"auburnlatch/core/poison"
	"auburnlatch/io/platform"
	standin "auburnlatch/standin/platform"
)

// Bans are overwritten, read back and deleted. Deleting a ban that does not exist is not an
// error.
func TestBansArePersisted(t *testing.T) {
	srv := httptest.NewServer(standin.New())
	t.Cleanup(srv.Close)
	bans := platform.NewBans(platform.New(srv.URL))
	ctx := t.Context()
	a, b := (&poison.Content{URI: "/a"}).Print(), (&poison.Content{URI: "/b"}).Print()
	want := []poison.Ban{{Print: a, At: 9, Lifted: true}, {Print: b, At: 8}}
	for _, list := range [][]poison.Ban{nil, {{Print: a, At: 7}, want[1]}, want[:1]} {
		if err := bans.SaveBans(ctx, list); err != nil {
			t.Fatal(err)
		}
	}
	got, err := bans.Bans(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, ban := range want {
		if !slices.Contains(got, ban) {
			t.Errorf("%+v is missing from %+v", ban, got)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d bans, want %d", len(got), len(want))
	}
	for range 2 {
		if err := bans.DeleteBans(ctx, []poison.Print{a, b}); err != nil {
			t.Fatal(err)
		}
	}
	if got, err = bans.Bans(ctx); err != nil || len(got) != 0 {
		t.Errorf("after their deletion: %v, %v, want no bans", got, err)
	}
}
