// Package logline writes logs as one key=value line per event and never blocks
// the caller. It also reads, traces and summarizes such logs.
//
// # Usage
//
//	out := logline.NewWriter(os.Stdout)
//	defer out.Close()
//	log := logline.New(out, false)
//	log.WithField("Zone", zone).Info("VMStarted")
package logline

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

// maxQueuedLines is the number of lines that wait for a slow reader before further
// ones are dropped. At 300 bytes per line these are 300 KB.
const maxQueuedLines = 1024

// Writer writes lines to another writer in the background. Lines that find the
// queue full are dropped and counted. Otherwise a log reader that stops reading
// would block every request that logs.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- slices.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer. Write must not be called
// after it.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

// run writes the queued lines. Write errors are ignored, as there is no other
// place to report them. When the queue is empty again, run logs how many lines
// were dropped.
func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		_, _ = w.out.Write(line)
		if n := w.dropped.Load(); n > reported && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "level=warning msg=LinesDropped Lines=%d\n", n-reported)
			reported = n
		}
	}
}

// timeFormat is the format of a line's time, with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes key=value lines to w.
func New(w io.Writer, debug bool) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	if debug {
		log.SetLevel(logrus.DebugLevel)
	}
	return log
}
