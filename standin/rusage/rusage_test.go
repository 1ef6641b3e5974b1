package rusage_test

import (
	"testing"

	"auburnlatch/standin/rusage"
)

func TestProcessorTimeRises(t *testing.T) {
	before, err := rusage.ProcessorTime()
	if err != nil {
		t.Fatal(err)
	}
	for range 1 << 30 {
		now, err := rusage.ProcessorTime()
		if err != nil {
			t.Fatal(err)
		}
		if now < before {
			t.Fatalf("processor time fell from %v to %v", before, now)
		}
		if now > before {
			return
		}
	}
	t.Error("processor time does not increase")
}
