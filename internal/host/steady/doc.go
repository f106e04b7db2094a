// Package steady reads the clock by which leases are measured.
//
// The clock that Go uses for time spans stands still while a machine is
// suspended. A holder that wakes up would believe its lease to be still alive.
// The boot-time clock counts that time.
package steady
