// Package leader elects the host that leads.
//
// A row in the store names the leader and its term. A host becomes leader by one
// conditional write that replaces the row and increments the term. The term is the
// fencing token of all orders. The leader renews the row periodically. The other
// hosts keep a call to the leader open, and read the row when the call fails or is
// not answered. A host takes the row over when the leader has resigned, or when the
// row has not changed for Lease while the store was available. While the store is
// unavailable to all hosts, no host can take over and the leader continues.
//
// A leader that cannot write its row may be the only disconnected host. It keeps sending orders for
// as long as a lease on a target lasts, and grants none beyond that. While it hears from each host that watches
// it, the leader goes on, for at most Grace: a watch names the last answer that has arrived, and a host that
// takes over awaits leases for as long as they last after that arrival. The first order of the next
// leader to a target fences off the old one there. On targets that the next leader does not reach, no
// lease is left a lease after it first saw the row that it replaced, or after the last answer to its watches.
package leader
