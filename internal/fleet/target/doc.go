// Package target is the way to the workers: hold, start, renew, stop.
//
// A worker is the authority on its own accelerators and leases. A lease is
// named by job and attempt and covers all members of the gang on that worker.
// It begins as held: the room is taken, nothing runs. Start runs the members.
// A lease ends when it is stopped or not renewed in time; the worker then
// stops its tasks and refuses every later command for it.
//
// The worker counts the lease time from the receipt of a message, the holder
// from before it was sent, so the holder believes it over first.
package target
