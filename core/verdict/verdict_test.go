package verdict

import (
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestOf(t *testing.T) {
	refused := New(NotRun, ReasonBusy, time.Second)
	for _, tc := range []struct {
		name string
		err  error
		want Verdict
	}{
		{"error without a verdict", io.ErrUnexpectedEOF, MaybeRan},
		{"error with a verdict", refused, NotRun},
		{"wrapped error with a verdict", errors.Wrap(refused, "forward"), NotRun},
		{"ran", Wrap(io.EOF, Ran, ReasonBroken, 0), Ran},
	} {
		if got := Of(tc.err); got != tc.want {
			t.Errorf("%s: Of(%v) = %v, want %v", tc.name, tc.err, got, tc.want)
		}
	}
}

func TestParseRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MaybeRan, NotRun, Ran} {
		if got := Parse(v.String()); got != v {
			t.Errorf("Parse(%q) = %v, want %v", v.String(), got, v)
		}
	}
	if got := Parse("notrun"); got != MaybeRan {
		t.Errorf("Parse of an unknown name = %v, want MaybeRan", got)
	}
}
