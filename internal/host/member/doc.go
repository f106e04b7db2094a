// Package member knows which hosts of the system are alive and what falls to
// each of them.
//
// A host is known by its address and its incarnation, which rises each time a
// process starts there. Its heartbeats are numbered; the pair of incarnation
// and number only rises, so a doubled, delayed or crossed heartbeat is told
// from a new one without comparing clocks, and views of hosts that have heard
// the same heartbeats in any order are equal.
//
// Within a zone every host sends its heartbeat to every other one. Between two
// zones only one delegate of each sends; its heartbeat carries a digest of its
// own zone's hosts, and whoever receives it passes it on within its zone a few
// sightings at a time. So the messages of a host grow with its zone and not
// with the square of all hosts.
//
// A silent host is suspect, then dead, then forgotten. Who is the placer of a
// zone, the keeper of a worker's leases or the delegate towards another zone is
// computed from the live hosts by rendezvous hash; nobody is elected, and two
// hosts that see different live hosts may both act.
//
// A Table has no goroutine or clock of its own: Targets is called every
// BeatEvery and each method takes the time.
package member
