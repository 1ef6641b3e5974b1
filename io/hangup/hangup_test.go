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

// childEnv is set in the environment of the child process, which receives the signals.
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

// SIGHUP is sent during the first milliseconds of a process whose parent ignores the
// signal. The process must not be terminated, and must receive SIGHUP after its start.
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
				t.Fatalf("child printed %q, want \"started\"", lines.Text())
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			if !lines.Scan() || lines.Text() != "signalled" {
				t.Fatalf("child printed %q after SIGHUP, want \"signalled\"", lines.Text())
			}
		})
	}
}
