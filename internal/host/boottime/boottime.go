package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the boot time. Now is the system's clock; tests pass their own.
type Clock func() time.Time

// Now returns the time since an unspecified moment before the process started. It
// never goes back and counts the time that the machine was suspended. Only
// differences are meaningful. If the system has no such clock, Now uses Go's
// monotonic clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

var processStart = time.Now()

// WallOffset returns the time of day minus the boot time.
func (c Clock) WallOffset() time.Duration { return time.Now().Round(0).Sub(c()) }
