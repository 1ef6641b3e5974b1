package logline_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"auburnlatch/io/logline"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	got     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.got.Write(p)
}

// Guards against requests that block on logging because the reader of the logs has
// stopped reading. Lines that do not fit the queue are dropped and counted, and the
// count is logged when the reader continues.
func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := logline.NewWriter(out)
	log := logline.New(w, false)
	const lines = 5000
	for i := range lines {
		log.WithField("Line", i).Info("Event")
	}
	if w.Dropped() == 0 || w.Dropped() >= lines {
		t.Errorf("%d of %d lines were dropped", w.Dropped(), lines)
	}
	close(out.unblock)
	w.Close()
	if got := out.got.String(); !strings.Contains(got, "msg=Event Line=0") || !strings.Contains(got, fmt.Sprintf("LinesDropped Lines=%d", w.Dropped())) {
		t.Errorf("the first line or the count of dropped lines is missing")
	}
}

// BenchmarkLogRequest measures the logging of one line with the fields of an answered
// request.
func BenchmarkLogRequest(b *testing.B) {
	w := logline.NewWriter(discard{})
	log := logline.New(w, false).WithField("VM", "a")
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"Request": "9c41d07be2a35f68", "Host": "depot.example", "Path": "/slots/17", "RulesAgeMs": 310, "TargetsAgeMs": 420,
			"ConfigVersion": 31, "Route": "book", "Service": "bookings", "Target": "i-3ac82fd620", "TargetZone": "north-1",
			"Status": 200, "Tries": 1, "TookMs": 81,
		}).Info("RequestAnswered")
	}
	w.Close()
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

const savedLog = `time="2030-01-01T00:00:02.000Z" level=info msg=RequestGivenUp Err="dial tcp: i/o timeout" Reason=Unreachable Request=r1 Service=s TargetZone=z VM=b
edge-a | time="2030-01-01T00:00:01.000Z" level=info msg=UpstreamFailed Reason=Broken Request=r1 Service=s Target=i-1 TargetZone=z VM=a
not a line of a log
time="2030-01-01T00:00:03.000Z" level=info msg=RequestAnswered Request=r2 Service=s VM=a
time="2030-01-01T00:00:04.000Z" level=warning msg=CopyStale Table=Targets VM=a
`

func TestTraceAndSummary(t *testing.T) {
	lines, err := logline.Read(strings.NewReader(savedLog))
	if err != nil || len(lines) != 4 {
		t.Fatalf("read %d lines, %v, want 4", len(lines), err)
	}
	if got := lines[0].Get("Err"); got != "dial tcp: i/o timeout" {
		t.Errorf("quoted value %q", got)
	}
	found := logline.Trace(lines, "r1")
	if len(found) != 2 || found[0].Event != "UpstreamFailed" || found[1].Get("VM") != "b" {
		t.Errorf("trace of r1: %+v", found)
	}
	counts := logline.Summarize(lines, false)
	if len(counts) != 3 {
		t.Fatalf("counts %+v, want 3", counts)
	}
	for _, c := range counts {
		if c.Event == "RequestAnswered" || c.N != 1 {
			t.Errorf("counted %+v", c)
		}
	}
}
