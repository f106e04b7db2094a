// Package keeper holds what a placer and the keepers of its workers' leases say to
// each other.
//
// The renewals of a zone's workers are shared out over its hosts. For a worker
// that falls to another host, the placer asks that host, its keeper, to renew; the
// keeper renews, waits for news, and gives back what came. Asks and results are
// gathered, so that many workers cost few messages, and a worker's set of leases
// is sent only when it is another than in the ask before.
//
// A keeper decides nothing: it renews once for each ask and never by itself. So
// what the placer believes of a lease follows from when it asked, as it does for
// its own renewals, and a keeper that dies, or believes too much after a pause,
// keeps nothing alive.
package keeper
