package upstream_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"auburnlatch/core/inventory"
	"auburnlatch/io/upstream"
)

// benchmarkUpload is the length of an upload that is sent on while it arrives, in bytes.
const benchmarkUpload = 4 << 20

// startReader returns the address of an upstream that reads the body of each request and responds with a few bytes.
func startReader(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "ok")
	})}
	b.Cleanup(func() { srv.Close() })
	go srv.Serve(l)
	return l.Addr().String()
}

// BenchmarkUpload measures uploads whose body is not in memory as a whole.
func BenchmarkUpload(b *testing.B) {
	body := make([]byte, benchmarkUpload)
	addr := startReader(b)
	pool, client := upstream.NewPool(), upstream.NewClient()
	for name, send := range map[string]func() (*http.Response, error){
		"Pool": func() (*http.Response, error) {
			c := call(addr, "1")
			c.Body, c.Rest, c.Length = nil, bytes.NewReader(body), benchmarkUpload
			return pool.Send(b.Context(), c, time.Second)
		},
		"Client": func() (*http.Response, error) {
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", io.NopCloser(bytes.NewReader(body)))
			if err != nil {
				return nil, err
			}
			req.ContentLength = benchmarkUpload
			return client.Send(b.Context(), &inventory.Target{Addr: addr}, nil, req)
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(benchmarkUpload)
			b.ReportAllocs()
			for b.Loop() {
				resp, err := send()
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}

// BenchmarkClientSend measures a request without a body.
func BenchmarkClientSend(b *testing.B) {
	addr := startReader(b)
	client := upstream.NewClient()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", http.NoBody)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := client.Send(b.Context(), &inventory.Target{Addr: addr}, nil, req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
