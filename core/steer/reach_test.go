package steer

import "testing"

// All VMs of a zone crash. Its last summary stays valid for half a minute, in
// which all requests sent there would be refused. Failed requests must show
// earlier that the zone is unreachable, but a single one must not, and the
// failures must expire.
func TestReachability(t *testing.T) {
	type request struct {
		second float64
		ok     bool
	}
	for _, tc := range []struct {
		name     string
		requests []request
		at       float64
		want     bool
	}{
		{"no requests", nil, 1, false},
		{"one failure", []request{{0, false}}, 10, false},
		{"failures for one second", []request{{0, false}, {1, false}}, 1, false},
		{"failures for three seconds", []request{{0, false}, {3, false}}, 3, true},
		{"success between failures", []request{{0, false}, {2, true}, {3, false}}, 3, false},
		{"failures long ago", []request{{0, false}, {3, false}}, 40, false},
		{"two failures far apart", []request{{0, false}, {50, false}}, 50, false},
	} {
		var r Reachability
		for _, req := range tc.requests {
			r.Record(at(req.second), "z", req.ok)
		}
		if got := r.Unreachable(at(tc.at), "z"); got != tc.want {
			t.Errorf("%s: Unreachable = %t, want %t", tc.name, got, tc.want)
		}
	}
}
