// Package pool is a small stand-in for the users' targets: they run tasks under
// leases and fencing tokens, alone and as gangs, fail some, save checkpoints and
// list what runs and what ended.
//
// A Pool is told the time with each call and is otherwise pure, so tests can
// drive it step by step. It also judges: each start that breaks a promise of the
// system is kept as a Breach. A Line gives a pool's targets orders as order.Transport
// does, with delays, lost answers and late orders.
package pool
