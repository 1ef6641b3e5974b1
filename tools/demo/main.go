// Command demo starts a small auburnlatch on loopback as separate processes and
// exercises it: it applies an inventory, looks up a VM, reads, sends a booking
// twice with one idempotency key, uploads, and kills a VM. It prints a line for
// each step and stops all its processes by their IDs. It exits with a non-zero
// status if a step fails.
//
// Usage, from the root of the repository:
//
//	make demo
//	make demo KEEP=1   leaves everything running until interrupted
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type flags struct {
	Bin  string `help:"Directory with the built programs." default:"bin"`
	Keep bool   `help:"Leave everything running and print the addresses."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("demo"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := demo(ctx, f)
	stop()
	if err != nil {
		fmt.Printf("demo: FAILED: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("demo: all steps passed")
}

func demo(ctx context.Context, f flags) error {
	dir, err := os.MkdirTemp("", "auburnlatch-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(f.Bin)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	s := &demoSystem{dir: dir, bin: bin, ports: newPorts()}
	defer s.stopAll()
	if err := s.start(); err != nil {
		return err
	}
	if err := s.steps(ctx); err != nil {
		s.printLogs()
		return err
	}
	if f.Keep {
		s.printAddresses()
		<-ctx.Done()
	}
	return s.stopVMs()
}
