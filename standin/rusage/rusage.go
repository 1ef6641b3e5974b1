// Package rusage measures the processor time of this process, for benchmarks of several
// VMs, callers and upstreams in one process.
//
// # Usage
//
//	before, err := rusage.ProcessorTime()
package rusage

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessorTime returns the user and system time that all threads of the process have used.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
