package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"auburnlatch/standin/freeport"
)

// daemonEnv is the environment variable that makes the test binary run the daemon.
const daemonEnv = "AUBURNLATCHD_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) == "" {
		os.Exit(m.Run())
	}
	main()
}

// Guards against a daemon that SIGHUP terminates, which would cut all requests in flight.
func TestHangupDoesNotTerminateTheDaemon(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.jsonc")
	config := `{"Name":"a","Zone":"z","Platform":{"Url":"http://127.0.0.1:1"}`
	for _, field := range []string{"CallerAddr", "ForwardAddr", "PeerAddr", "OperatorAddr"} {
		addr, err := freeport.Addr()
		if err != nil {
			t.Fatal(err)
		}
		config += fmt.Sprintf(`,%q:%q`, field, addr)
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config + "}")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), daemonEnv+"=1")
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	waitForLine := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the daemon exited before it logged %s", text)
	}
	signal := func(s os.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	waitForLine("VMStarted")
	signal(syscall.SIGHUP)
	waitForLine("SettingsGoodForNextStart")
	write("{")
	signal(syscall.SIGHUP)
	waitForLine("SettingsRefused")
	signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}
