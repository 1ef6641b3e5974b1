package entry

import (
	"errors"
	"testing"
	"time"
)

// While the platform refuses all calls, VMs that are no readers must back off: 80 VMs
// would otherwise retry every 0.7 s, each call costs money, and two readers are enough to
// notice when it is back.
func TestBackoffOfReadersAndOthers(t *testing.T) {
	failed := errors.New("refused")
	for _, tc := range []struct {
		name   string
		reader bool
		want   []time.Duration // After one failure, two, and so on.
	}{
		{"reader", true, []time.Duration{retryPause, retryPause, retryPause, retryPause}},
		{"others", false, []time.Duration{retryPause, 2 * retryPause, maxRetryPause, maxRetryPause}},
	} {
		var b backoff
		for i, want := range tc.want {
			if got := b.after(failed, tc.reader); got != want {
				t.Errorf("%s, failure %d: got %v, want %v", tc.name, i+1, got, want)
			}
		}
		if got := b.after(nil, tc.reader); got != 0 {
			t.Errorf("%s: got %v after a success, want none", tc.name, got)
		}
		if got := b.after(failed, tc.reader); got != retryPause {
			t.Errorf("%s: got %v for the first failure after a success, want %v", tc.name, got, retryPause)
		}
	}
}
