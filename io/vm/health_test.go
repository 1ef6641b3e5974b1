package vm

import (
	"errors"
	"testing"

	"auburnlatch/core/dispatch"
)

// Guards against probes of an upstream that count for another one under the same name.
func TestProbesOfAnotherAddressDoNotCount(t *testing.T) {
	var r healthRecord
	down := errors.New("refused")
	for range downThreshold {
		r.record("t", "10.0.0.1:80", dispatch.Up, down)
	}
	if now, _ := r.record("t", "10.0.0.2:80", dispatch.Up, down); now != dispatch.Unknown {
		t.Errorf("%v after a single failed probe at the new address", now)
	}
}
