package leader

import "time"

// Predecessors tells, at the beginning of a term, for how long the leaders of earlier terms may
// still act. The zero value says that there were none.
type Predecessors struct {
	ordersEnd time.Time // when the last leader that may grant whole leases ceases to send orders
	leasesEnd time.Time // when the leases of all other earlier leaders end at the latest
}

// LeasesEnd returns when every lease that an earlier leader granted or may still grant has
// lapsed, if none is longer than the given one, on a target whose clock is right.
func (p Predecessors) LeasesEnd(longest time.Duration) time.Time {
	end := p.ordersEnd.Add(longest)
	if p.leasesEnd.After(end) {
		return p.leasesEnd
	}
	return end
}

// afterResignation returns the Predecessors of a term that follows one whose leader has ceased to
// act, and whose row was last r.
func (r Row) afterResignation(now time.Time) Predecessors {
	if r.Leases > 0 {
		return Predecessors{leasesEnd: now.Add(r.leases())}
	}
	// A leader before that one may act for Grace from when that one began; how long ago that was, the
	// number of attempts to renew the row tells.
	const unpaced = 2 // the first write of a term and the resignation are not paced
	lasted := time.Duration(max(r.Heartbeat-unpaced, 0)) * RenewInterval
	if !r.Limited {
		return Predecessors{ordersEnd: now.Add(max(Grace-lasted, 0))}
	}
	return Predecessors{ordersEnd: now, leasesEnd: now.Add(Grace - lasted)}
}

// afterTakeover returns the Predecessors of a term that follows one whose leader may not know that
// it has been replaced. Its row was last r.
func (r Row) afterTakeover(k contact) Predecessors {
	latest := k.seenAt.Add(Grace)
	switch {
	case r.Leases == 0 && !r.Limited:
		return Predecessors{ordersEnd: latest}
	case r.Leases == 0:
		return Predecessors{leasesEnd: latest}
	}
	end := k.seenAt.Add(r.leases())
	latest = later(latest, end)
	if r.Heartbeat <= newTermBeats {
		return Predecessors{leasesEnd: end}
	}
	if !k.watchedAt.After(k.seenAt.Add(-watchMemory)) { // the leader may not have known this host
		return Predecessors{leasesEnd: latest}
	}
	if answered := k.answeredAt.Add(r.leases()); answered.Before(latest) {
		return Predecessors{leasesEnd: later(end, answered)}
	}
	return Predecessors{leasesEnd: latest}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// contact is what a host knows of its contact with the leader whose row it may take over.
type contact struct {
	seenAt     time.Time // when it first saw the present row
	watchedAt  time.Time // when it sent the last watch that this leader has answered
	answeredAt time.Time // when the last answer of any leader to a watch arrived
}
