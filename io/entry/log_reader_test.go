package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"

	"auburnlatch/io/entry"
	"auburnlatch/io/logline"
)

// blockedWriter is a log output that nobody reads.
type blockedWriter struct{ unblock chan struct{} }

// Write blocks until the test ends.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// The process that reads the VM's standard output hangs, as with a full disk, and a write of
// a line never returns. Requests must not wait for their lines, or the VM would stop
// responding because of its logs.
func TestRequestsDoNotWaitForLogWriter(t *testing.T) {
	blocked := &blockedWriter{make(chan struct{})}
	out := logline.NewWriter(blocked)
	t.Cleanup(func() { close(blocked.unblock) })
	log := logline.New(out, false)
	for out.Dropped() == 0 {
		log.Info("Filler")
	}
	up := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	p := newPlatform()
	p.set(entry.TableRules, "config", config(1))
	register(p, "t", up.addr())
	v := startVMLogging(t, "a", p, nil, log)
	ready(t, v)
	dropped := out.Dropped()
	const requests = 1000
	for i := range requests {
		// Half of them fail, and their lines have a budget of their own.
		path, want := "/get/1", http.StatusOK
		if i%2 == 0 {
			path, want = "/nowhere", http.StatusNotFound
		}
		w := httptest.NewRecorder()
		v.ServeHTTP(w, request(path))
		if w.Code != want {
			t.Fatalf("request %d: status %d, want %d", i, w.Code, want)
		}
	}
	if out.Dropped() == dropped {
		t.Error("no line was dropped, so the test is inconclusive")
	}
}

func request(path string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	r.Host = "h"
	r.Header.Set(protocol.RequestID, "id")
	return r
}

// BenchmarkRequest measures a request through a VM to an upstream on loopback, with and
// without log lines.
func BenchmarkRequest(b *testing.B) {
	for _, tc := range []struct {
		name  string
		level logrus.Level
	}{{"Lines", logrus.InfoLevel}, {"NoLines", logrus.PanicLevel}} {
		b.Run(tc.name, func(b *testing.B) {
			up := startUpstream(b, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			p := newPlatform()
			p.set(entry.TableRules, "config", config(1))
			register(p, "t", up.addr())
			log := logline.New(logline.NewWriter(io.Discard), false)
			log.SetLevel(tc.level)
			v := startVMLogging(b, "a", p, nil, log)
			ready(b, v)
			b.ReportAllocs()
			for b.Loop() {
				v.ServeHTTP(httptest.NewRecorder(), request("/get/1"))
			}
		})
	}
}
