// Command rig plays the cases of the review: it starts the daemon as separate processes on
// loopback, with stand-ins for the platform's store, the upstreams and the clients, and checks one
// rule by what these see.
//
// Usage:
//
//	rig CASE RECORD
//
// RECORD is the file for what was sent, answered and run. With TROUBLE=0 in the environment the
// disruption is left out. Exit code 1 means that the rule was broken, 0 that it held, and 2 that
// the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun is how long a case may take.
const maxRun = 115 * time.Second

// scenario plays a case and returns its findings: what broke the rule.
type scenario func(ctx context.Context, rec *record, trouble bool) (findings []string, err error)

var scenarios = map[string]scenario{
	"behind": playBehind,
	"stop":   playStop,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

// watchdog ends a run that takes too long or is interrupted.
type watchdog struct{ done chan struct{} }

// run waits until the run is done. If ctx ends before that, it kills the daemons and exits.
func (w *watchdog) run(ctx context.Context) {
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	select {
	case <-w.done:
		return
	default:
	}
	daemons.kill()
	fmt.Fprintln(os.Stderr, "rig:", ctx.Err())
	os.Exit(exitFailed)
}

// play plays a case and returns the exit code.
func play(s scenario, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	w := &watchdog{done: make(chan struct{})}
	defer close(w.done)
	go w.run(ctx)
	findings, err := s(ctx, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	daemons.kill()
	for _, f := range findings {
		rec.printf("BROKEN %s", f)
		fmt.Println("BROKEN", f)
	}
	if len(findings) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
