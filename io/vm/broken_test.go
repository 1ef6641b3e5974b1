package vm

import (
	"net/http"
	"strings"
	"testing"

	"auburnlatch/standin/broken"
)

// Guards against bytes outside the grammar of a head that callers get as a response, from an upstream of this
// VM or behind another one, or that are kept for a key.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	responses := broken.Heads("", "bytes")
	f := newFleet(t, "z1", "z2")
	f.wrapUpstreams(func(serving http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response, ok := responses[strings.ReplaceAll(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "_", " ")]
			if !ok {
				serving.ServeHTTP(w, r)
				return
			}
			broken.Handler(response).ServeHTTP(w, r)
		})
	})
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	for _, zone := range []string{"z1", "z2"} {
		sendAllTo(a, zone)
		for _, name := range []string{"status 000", "status 099", "blank in a name", "blank behind the length", "NUL in a name", "status 101"} {
			path := "/istoric/" + strings.ReplaceAll(name, " ", "_")
			for range 2 { // The second is the retry of a key.
				if status, n, err := f.discard(a, http.MethodPost, path, keyed(zone+name)); err != nil || status < http.StatusBadRequest {
					t.Errorf("%s in %s: status %d, %d bytes, %v", name, zone, status, n, err)
				}
			}
			if status, n, err := f.discard(a, http.MethodGet, path, nil); err != nil || status != http.StatusBadGateway && status != http.StatusServiceUnavailable {
				t.Errorf("GET %s in %s: status %d, %d bytes, %v", name, zone, status, n, err)
			}
		}
	}
}
