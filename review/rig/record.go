package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file for what happened. It is safe for concurrent use.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// seconds returns a time as seconds since the beginning.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// printf writes a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f "+format+"\n", append([]any{r.seconds(time.Now())}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}

// request writes the line of a request: what was sent, answered and run.
func (r *record) request(o *outcome, list []run) {
	got := fmt.Sprint(o.Status)
	if o.Err != nil {
		got = "none (" + o.Err.Error() + ")"
	}
	line := fmt.Sprintf("request %s %s %s to %s sent %.3f ended %.3f answer %s", o.ID, o.Method, o.URI, o.VM, r.seconds(o.Sent), r.seconds(o.Ended), got)
	for _, x := range list {
		line += fmt.Sprintf("; run at %s %.3f-%.3f cut %t", x.Target, r.seconds(x.Began), r.seconds(x.Ended), x.Cut)
	}
	r.printf("%s", line)
}
