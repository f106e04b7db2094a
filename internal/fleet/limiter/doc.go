// Package limiter limits how many orders a leader has in flight and queues the rest by
// urgency.
//
// Without a limit, a burst of orders occupies the host's link or processor for longer
// than the timeout of an order: the orders time out, are sent again, and the host never
// catches up. The limit follows the delay of answers, as in S. Shalunov et al., Low Extra
// Delay Background Transport (LEDBAT), RFC 6817 (2012); the timeout follows V. Paxson
// et al., Computing TCP's Retransmission Timer, RFC 6298 (2011).
package limiter
