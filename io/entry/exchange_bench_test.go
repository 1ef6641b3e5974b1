package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

// BenchmarkExchange measures requests on one kept connection through a VM to an upstream.
func BenchmarkExchange(b *testing.B) {
	for _, bc := range []struct {
		name, method, path string
		body               []byte
	}{
		{"lookup", http.MethodGet, "/get/1", nil},
		{"upload 360 kB", http.MethodPost, "/post/1", make([]byte, 360_000)},
	} {
		b.Run(bc.name, func(b *testing.B) {
			answer := make([]byte, 300)
			v, _ := startServing(b, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = w.Write(answer)
			}, nil)
			client := &http.Client{}
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequest(bc.method, "http://"+v.cfg.FrontAddr+bc.path, bytes.NewReader(bc.body))
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "h"
				req.Header.Set("Request-Id", "1")
				resp, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
