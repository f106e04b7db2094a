// Package leader decides which host leads.
//
// The leader row in the store names the leader and its term. It is taken by one
// conditional write that raises the term; the term is the fencing token of all
// orders. The leader writes the row again and again. The other hosts keep a call
// to the leader open, and look at the row when it breaks or falls silent. A host
// takes the row over when the leader resigned, or when the row has not changed
// for Lease while the store answered. While the store answers nobody, nobody
// can take over, and the leader goes on.
//
// A leader that cannot write its row goes on giving orders for at most Grace:
// it may be cut off alone. Its successor's first order to a target fences it
// there; on targets that the successor does not reach, Grace and the longest
// lease bound what it can do.
package leader
