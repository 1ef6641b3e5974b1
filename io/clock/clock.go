// Package clock reads the kernel's clock that goes on while the machine is suspended.
//
// The monotonic clock, by which Go measures time, stands still meanwhile: a VM that was
// suspended for ten seconds would take what it knew before for ten seconds younger than it
// is, and admit keys that were taken away. The time of day goes on too, and may jump.
//
// # Usage
//
//	asked := clock.Boot()
//	...
//	age := time.Duration(clock.Boot() - asked)
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"auburnlatch/core/lease"
)

// Boot returns the time since the machine started, suspensions included. It panics on a
// kernel that has no such clock, without which keys cannot be judged.
func Boot() lease.Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock: CLOCK_BOOTTIME: %v", err))
	}
	return lease.Moment(time.Duration(ts.Nano()))
}
