// Package machine proves the whole system's decision code under failure: a
// rapid state machine of hosts, workers and a platform that are cut off, killed,
// paused, slow, and whose messages are late, doubled, crossed or lost.
//
// The hosts run the real machines (intake, placer, member, inforce, ledger,
// ticket); workers, the platform and the network are small fakes with a virtual
// clock. It holds tests only.
package machine
