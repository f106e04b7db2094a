// Package budget shares the writes and reads that the platform can take over
// the live hosts.
//
// Each host holds one token bucket for writes and one for reads, filled with
// its share of the whole: the rate divided by the hosts that may be using the
// platform. No host asks another one for leave; a host that is counted too much
// costs a little throughput, and one that is counted too little is refused by
// the platform. What goes beyond the share is refused at once, with the time at
// which it would pass.
package budget
