// Package clock reads the kernel's boot-time clock, which includes the time that the
// machine is suspended.
//
// Go measures time by the monotonic clock, which stops during a suspension: after ten
// seconds of suspension a VM would take its data for ten seconds newer than it is, and
// admit keys that have been revoked. The wall clock does not stop either, but may jump.
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

// Boot returns the time since the machine booted, suspensions included. It panics if the
// kernel has no such clock, as the age of keys cannot be determined without it.
func Boot() lease.Moment {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock: CLOCK_BOOTTIME: %v", err))
	}
	return lease.Moment(time.Duration(ts.Nano()))
}
