package logline_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"auburnlatch/io/logline"
)

// answeredLine returns a line that logs an answered request of route r, whose objective
// is 500 ms.
func answeredLine(second int, object, target string, tookMs int, fields string) string {
	return fmt.Sprintf(`time="2030-01-01T00:00:%02d.000Z" level=info msg=RequestAnswered Route=r Object=%s Target=%s TookMs=%d ObjectiveMs=500 Tries=1 Slots=4 Owner=true %s`,
		second, object, target, tookMs, fields)
}

// Each late or failed request has one cause, and requests in time have none.
func TestCauses(t *testing.T) {
	for want, lines := range map[logline.Cause][]string{
		"":                         {answeredLine(1, "a", "t", 400, "")},
		logline.CauseNewEverywhere: {answeredLine(1, "a", "t", 900, "")},
		logline.CauseOwnerChanged:  {answeredLine(1, "a", "t", 400, ""), answeredLine(2, "a", "u", 900, "")},
		logline.CauseSpilled:       {answeredLine(1, "a", "t", 400, ""), strings.Replace(answeredLine(2, "a", "u", 900, ""), "Owner=true", "Owner=false", 1)},
		logline.CauseQueue:         {answeredLine(1, "a", "t", 400, ""), answeredLine(2, "a", "t", 900, "Ahead=5")},
		logline.CauseSlow:          {answeredLine(1, "a", "t", 400, ""), answeredLine(2, "a", "t", 900, "Ahead=1")},
		logline.CauseSlowByReport:  {answeredLine(1, "a", "t", 400, ""), answeredLine(2, "a", "t", 900, "Ahead=1 Pace=2.5")},
		logline.CauseBehind:        {answeredLine(1, "a", "t", 900, "BehindMs=500")},
		logline.CauseDistance:      {answeredLine(1, "a", "t", 600, "TripMs=110")},
		logline.CauseRetried:       {strings.Replace(answeredLine(1, "a", "t", 900, ""), "Tries=1", "Tries=2", 1)},
		logline.CauseOverdue:       {strings.Replace(answeredLine(1, "a", "t", 900, "SentTwice=true"), "Tries=1", "Tries=2", 1)},
		logline.CauseRefused:       {`time="2030-01-01T00:00:01.000Z" level=info msg=RequestGivenUp Route=r Reason=NoCapacity TookMs=1 ObjectiveMs=500`},
		logline.CauseFailed:        {`time="2030-01-01T00:00:01.000Z" level=info msg=RequestGivenUp Route=r Reason=Broken TookMs=90 ObjectiveMs=500`},
		logline.CauseCallerLeft:    {`time="2030-01-01T00:00:01.000Z" level=info msg=RequestGivenUp Route=r Reason=Canceled TookMs=90 ObjectiveMs=500`},
	} {
		parsed, err := logline.Read(strings.NewReader(strings.Join(lines, "\n")))
		if err != nil || len(parsed) != len(lines) {
			t.Fatalf("%d lines, %v", len(parsed), err)
		}
		list := logline.Causes(parsed, 0)
		switch {
		case want == "" && len(list) == 0:
		case len(list) != 1 || list[0].Cause != want || list[0].N != 1 || list[0].Asked != len(lines):
			t.Errorf("want %q, got %+v", want, list)
		}
	}
}

func TestCausesByPeriod(t *testing.T) {
	var text strings.Builder
	for second := range 10 {
		fmt.Fprintln(&text, answeredLine(second, fmt.Sprint("object", second), "t", 900, ""))
	}
	lines, err := logline.Read(strings.NewReader(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, c := range logline.Causes(lines, 2*time.Second) {
		if c.From.Second()%2 != 0 {
			t.Errorf("a period begins at %v", c.From)
		}
		n += c.N
	}
	if n != 10 {
		t.Errorf("%d requests, want 10", n)
	}
}
