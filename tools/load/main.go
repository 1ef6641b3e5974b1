// Command load sends requests to a loopback address at a constant rate for a
// bounded time and prints their status codes, verdicts and latencies. If it is
// given process IDs it also prints the processor time that they used.
//
// Usage:
//
//	load --url http://127.0.0.1:8080/auburnlatch/lookup --rate 2000 --for 10s --pid 4711
//
// Requests are sent on schedule, whether or not earlier ones have been answered, so
// a slow response shows as latency and not as a lower rate.
package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Limits of a run, and constants of /proc.
const (
	maxRate     = 20_000
	maxDuration = 10 * time.Minute
	maxInFlight = 256
	// burstsPerSecond limits a burst to the requests of 1/burstsPerSecond of a second.
	burstsPerSecond = 200
	// ticksPerSecond is the number of clock ticks per second, the unit of processor time
	// under /proc on Linux.
	ticksPerSecond = 100
	// utimeField is the index of the user time among the fields of /proc/PID/stat after the
	// process's name. The system time is the next field.
	utimeField = 11
)

type flags struct {
	URL     string        `help:"URL to request; its host must be a loopback address." required:""`
	Method  string        `help:"HTTP method." default:"GET"`
	Rate    int           `help:"Requests per second." default:"100"`
	For     time.Duration `help:"Duration of the run." default:"10s"`
	Timeout time.Duration `help:"Timeout of a request." default:"5s"`
	Pid     []int         `help:"Processes whose processor time to print."`
}

// Validate checks the flags' bounds. It is called by kong.
func (f *flags) Validate() error {
	u, err := url.Parse(f.URL)
	if err != nil {
		return errors.Wrap(err, "--url")
	}
	ip := net.ParseIP(u.Hostname())
	switch {
	case ip == nil || !ip.IsLoopback():
		return errors.Newf("--url: host %s is not a loopback address", u.Host)
	case f.Rate < 1 || f.Rate > maxRate:
		return errors.Newf("--rate must be from 1 to %d", maxRate)
	case f.For <= 0 || f.For > maxDuration:
		return errors.Newf("--for must be above 0s and at most %v", maxDuration)
	}
	return nil
}

// run is one run and its results.
type run struct {
	flags
	client *http.Client

	mu        sync.Mutex
	outcomes  map[string]int
	latencies *hdrhistogram.Histogram
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Name("load"), kong.Description("Bounded load on loopback."))
	ctx.FatalIfErrorf(load(f))
}

func load(f flags) error {
	r := &run{
		flags: f, outcomes: map[string]int{}, latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		client: &http.Client{Timeout: f.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
	}
	before, err := processorTime(f.Pid)
	if err != nil {
		return err
	}
	started := time.Now()
	r.sendAll()
	after, err := processorTime(f.Pid)
	if err != nil {
		return err
	}
	r.print(time.Since(started), after-before)
	return nil
}

// sendAll sends all requests of the run and waits for the responses.
func (r *run) sendAll() {
	ctx, cancel := context.WithTimeout(context.Background(), r.For)
	defer cancel()
	// The burst compensates for timers that fire late.
	limiter := rate.NewLimiter(rate.Limit(r.Rate), 1+r.Rate/burstsPerSecond)
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	for limiter.Wait(ctx) == nil {
		due := time.Now()
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.sendOne(due)
		})
	}
	wg.Wait()
}

// sendOne sends a request and records its outcome and its latency since due.
func (r *run) sendOne(due time.Time) {
	outcome := r.send()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	_ = r.latencies.RecordValue(max(1, time.Since(due).Microseconds()))
}

func (r *run) send() string {
	req, err := http.NewRequest(r.Method, r.URL, nil)
	if err != nil {
		return err.Error()
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "answer cut"
	}
	if reason := resp.Header.Get("Auburnlatch-Reason"); reason != "" {
		return fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get("Auburnlatch-Verdict"), reason)
	}
	return strconv.Itoa(resp.StatusCode)
}

func (r *run) print(took, used time.Duration) {
	for _, outcome := range slices.Sorted(maps.Keys(r.outcomes)) {
		fmt.Printf("%-32s %d\n", outcome, r.outcomes[outcome])
	}
	for _, q := range []float64{50, 90, 99, 99.9} {
		fmt.Printf("latency p%-24v %v\n", q, time.Duration(r.latencies.ValueAtQuantile(q))*time.Microsecond)
	}
	fmt.Printf("%-32s %.0f\n", "requests/s", float64(r.latencies.TotalCount())/took.Seconds())
	if len(r.Pid) > 0 {
		fmt.Printf("%-32s %.3f\n", "cores used by the processes", used.Seconds()/took.Seconds())
	}
}

// processorTime returns the total processor time that processes have used.
func processorTime(pids []int) (time.Duration, error) {
	var sum time.Duration
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, errors.Wrap(err, "--pid")
		}
		// The name in parentheses may contain spaces, so count fields after it.
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, field := range fields[utimeField : utimeField+2] {
			ticks, err := strconv.Atoi(field)
			if err != nil {
				return 0, errors.Wrap(err, "--pid")
			}
			sum += time.Duration(ticks) * time.Second / ticksPerSecond
		}
	}
	return sum, nil
}
