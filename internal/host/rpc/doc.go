// Package rpc implements the calls between the hosts of the system, as JSON-RPC methods
// over package peer.
//
// Hosts notify the leader of jobs that they accepted and cancellations that they stored,
// and ask it for the states of jobs. They watch the leader by a call that it answers
// after a delay. Each watch and its answer carry the sender's configuration version, so
// that a host to which the store is unavailable still gets the newest configuration.
package rpc
