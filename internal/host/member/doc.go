// Package member knows which hosts of the system are alive and what falls to
// each of them.
//
// A host is known by its address and its incarnation, which rises each time a
// process starts there. A host is live while its heartbeats come. Who is the
// placer of a zone, the keeper of a worker's leases or the delegate towards
// another zone is computed from the live hosts by rendezvous hash; nobody is
// elected, and two hosts that see different live hosts may both act.
package member
