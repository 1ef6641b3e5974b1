package entry

import (
	"net/http"
	"testing"
	"time"

	"auburnlatch/core/balance"
	"auburnlatch/core/target"
)

// Guards against a refused health check that counts as one that found the upstream warm.
func TestRefusedCheckIsNoEvidence(t *testing.T) {
	v := &VM{protocol: Protocol{Instance: "Instance-Id", ColdMillis: "Cold-Ms", NotRun: "Not-Run"}}
	p := &process{vm: v, lease: balance.Lease{Target: &target.Target{ID: "i"}}, incarnation: "i"}
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusNotFound, http.StatusTooManyRequests} {
		h := http.Header{"Instance-Id": {"i"}, "Not-Run": {"1"}}
		if err := p.Checked(time.Now(), 1, &http.Response{StatusCode: status, Header: h}); err == nil {
			t.Errorf("a check that was refused with %d shows that the upstream is warm", status)
		}
	}
}
