// Package boottime reads the boot-time clock, by which leases are measured.
//
// The monotonic clock that Go uses for durations stops while a machine is suspended:
// the holder of a lease that wakes up would take it to be still valid. The boot-time
// clock counts that time.
package boottime
