// Package pool simulates the users' targets: they run tasks under leases and fencing
// tokens, alone and as gangs, fail some, save checkpoints and report running and ended
// runs.
//
// A Pool takes the time with each call and is otherwise deterministic, so tests can
// drive it step by step. It also checks its orders: each start that violates a
// guarantee of the system is recorded as a Breach. A Transport sends orders to a
// pool's targets as order.Transport does, with delays, lost answers and late orders.
package pool
