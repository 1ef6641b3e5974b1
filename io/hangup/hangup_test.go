package hangup_test

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"auburnlatch/io/hangup"
)

// childEnv has the test binary be the process that is signalled.
const childEnv = "HANGUP_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	fmt.Println("started")
	for range hangup.Signals() {
		fmt.Println("signalled")
	}
}

// Guards against a process that SIGHUP ends as it starts, though who started it had the
// signal ignored, and against one that ignores the signal for good.
func TestSignalDuringStart(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	for ms := range 20 {
		t.Run(fmt.Sprint(ms, "ms"), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			cmd := exec.CommandContext(ctx, os.Args[0])
			cmd.Env = append(os.Environ(), childEnv+"=1")
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() {
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
			}()
			<-time.After(time.Duration(ms) * time.Millisecond)
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(out)
			if !lines.Scan() || lines.Text() != "started" {
				t.Fatalf("said %q, want it to start", lines.Text())
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			if !lines.Scan() || lines.Text() != "signalled" {
				t.Fatalf("said %q after a signal, want to be told of it", lines.Text())
			}
		})
	}
}
