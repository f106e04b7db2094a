// Package exchange is what the hosts of the system say to each other, as
// JSON-RPC calls over package peer.
//
// Hosts tell the leader of jobs that they accepted and cancellings that they
// stored, and ask it for states. They watch it by a call that it answers after a
// while. Versions of the configuration travel along, so that a host which the
// store turns away still gets the newest.
package exchange
