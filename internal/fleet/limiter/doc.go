// Package limiter bounds the orders that a leader has in flight by the answers that
// come back, and has the others wait in the leader, the urgent ones first.
//
// Without a bound a burst of orders fills the host's link, or takes its processor,
// for longer than any of them may take: they time out, are sent again and keep the
// host from ever catching up. The bound follows the delay of answers, as in
// S. Shalunov et al., Low Extra Delay Background Transport (LEDBAT), RFC 6817 (2012);
// the time that an answer is waited for follows V. Paxson et al., Computing TCP's
// Retransmission Timer, RFC 6298 (2011).
package limiter
