package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the steady time. Now is the system's; tests pass their own.
type Clock func() time.Time

// Now returns the time since an unknown moment before the process began, as a
// time that never goes back and counts suspended time. Only differences mean
// something. It falls back to Go's own clock where the system has none.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(began))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

var began = time.Now()

// WallOffset returns the time of day minus the clock's time.
func (c Clock) WallOffset() time.Duration { return time.Now().Round(0).Sub(c()) }
