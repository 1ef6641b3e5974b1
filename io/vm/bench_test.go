package vm

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"auburnlatch/standin/rusage"
)

// cpuTime returns the processor time the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	used, err := rusage.ProcessorTime()
	if err != nil {
		b.Fatal(err)
	}
	return used
}

// measure calls f for each iteration and reports the median time and the mean
// processor time of a call. The processor time is that of the whole process: the
// caller, the VMs and the upstream.
func measure(b *testing.B, f func() error) {
	b.Helper()
	times := make([]time.Duration, 0, 1<<16)
	before := cpuTime(b)
	for b.Loop() {
		started := time.Now()
		if err := f(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(started))
	}
	used := cpuTime(b) - before
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "µs-median")
	b.ReportMetric(float64(used.Microseconds())/float64(len(times)), "cpu-µs/op")
}

func fetch(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// BenchmarkRequest measures a read sent directly to an upstream, through one VM,
// and through two VMs of different zones; a look-up; and a booking.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, "z1", "z2")
	a := f.startServing(vmSpec{"a", "z1"}, vmSpec{"b", "z2"})
	client := &http.Client{}
	b.Run("Direct", func(b *testing.B) {
		url := "http://" + f.inv.Target("z1-0").Addr + "/x"
		measure(b, func() error { return fetch(client, url) })
	})
	for _, c := range []struct{ name, zone string }{{"OneVM", "z1"}, {"TwoVMs", "z2"}} {
		b.Run(c.name, func(b *testing.B) {
			sendAllTo(a, c.zone)
			measure(b, func() error { return fetch(client, "http://"+a.cfg.CallerAddr+"/istoric/x") })
		})
	}
	b.Run("Lookup", func(b *testing.B) {
		measure(b, func() error { return fetch(client, "http://"+a.cfg.CallerAddr+"/auburnlatch/lookup") })
	})
	b.Run("Booking", func(b *testing.B) {
		n := 0
		measure(b, func() error {
			n++
			req, err := http.NewRequest(http.MethodPost, "http://"+a.cfg.CallerAddr+"/istoric/slots", strings.NewReader("order"))
			if err != nil {
				return err
			}
			req.Header.Set("Idempotency-Key", strings.Repeat("k", n%200+1)+time.Now().String())
			req.Header.Set("Auburnlatch-Caller", "depot")
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		})
	})
}
