package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Until when leases are awaited, by what a host knows of the leader that it replaces. Guards against an end before
// the leader's own, which a host that the leader does not await may not count on.
func TestLeasesAreAwaitedByContact(t *testing.T) {
	seen := time.Unix(1000, 0)
	const lease = 6 * time.Second
	row := Row{Term: 3, Holder: "a#1", Address: "a", Heartbeat: 40, Limited: true, Leases: lease.Milliseconds()}
	newTerm, unlimited, limited, earlier := row, row, row, row
	newTerm.Heartbeat = newTermBeats
	unlimited.Leases, unlimited.Limited = 0, false
	limited.Leases = 0
	earlier.Leases = (13 * time.Second).Milliseconds()
	for name, c := range map[string]struct {
		row  Row
		k    contact
		want time.Duration // after seen
	}{
		"watched":                         {row, contact{watchedAt: seen}, lease},
		"answered before":                 {row, contact{watchedAt: seen, answeredAt: seen.Add(-time.Second)}, lease},
		"answered since":                  {row, contact{watchedAt: seen, answeredAt: seen.Add(time.Second)}, lease + time.Second},
		"answered for long":               {row, contact{watchedAt: seen, answeredAt: seen.Add(9 * time.Second)}, Grace},
		"not watched":                     {row, contact{}, Grace},
		"not watched for long":            {row, contact{watchedAt: seen.Add(-watchMemory)}, Grace},
		"not watched, of a new term":      {newTerm, contact{}, lease},
		"leases of an earlier leader":     {earlier, contact{watchedAt: seen}, 13 * time.Second},
		"the same, not watched":           {earlier, contact{}, 13 * time.Second},
		"of an earlier version":           {limited, contact{watchedAt: seen}, Grace},
		"the same, with unlimited leases": {unlimited, contact{watchedAt: seen}, Grace + lease},
		"answered since, of a new term":   {newTerm, contact{answeredAt: seen.Add(time.Second)}, lease},
		"answered since, earlier leaders": {earlier, contact{watchedAt: seen, answeredAt: seen.Add(time.Second)}, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.k.seenAt = seen
			is.Equal(c.row.afterTakeover(c.k).LeasesEnd(lease).Sub(seen), c.want)
		})
	}
}

// Each watcher has to have an answer of the leader. Guards against a term whose time is over and is extended by
// watches that arrive then, and against watches that a new term counts on.
func TestTermIsExtendedByWatchesOfAllHosts(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	term := NewTerm(3, began)
	term.acting = 6 * time.Second
	renew := func(beat int64, now time.Time) {
		term.attempted(beat, now)
		term.renewed(beat)
	}
	renew(newTermBeats, at(1))
	term.watched("b", at(2), at(2))
	is.Equal(term.Deadline(), at(7)) // the term is new
	renew(newTermBeats+1, at(1.5))
	term.watched("c", time.Time{}, at(2))
	term.watched("b", at(3), at(3))
	is.Equal(term.Deadline(), at(7.5)) // c is not known to have an answer
	term.watched("c", at(4), at(4.5))
	is.Equal(term.Deadline(), at(9))
	term.watched("b", at(5), at(5))
	is.Equal(term.Deadline(), at(10))
	term.watched("c", at(10), at(10))
	is.Equal(term.Deadline(), at(10)) // it is over
	renew(newTermBeats+2, at(11))
	is.Equal(term.Deadline(), at(17))
	renew(newTermBeats+3, at(12))
	is.Equal(len(term.watchers), 1+1)
	renew(newTermBeats+4, at(18.1))
	is.Equal(len(term.watchers), 0) // neither was heard since
}
