package gang

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
)

// part is what a gang knows of its members on one worker.
type part struct {
	worker  string
	grants  []cell.Grant
	asked   bool        // a hold was sent: it may be held
	held    bool        // the worker said that it holds it
	told    bool        // a start was sent: it may have run
	started bool        // the worker said that it was started; never falls
	refused bool        // the worker said that it did not and will not start it
	over    bool        // nothing of it runs any more, as the worker says or time proves
	seen    bool        // the worker spoke of it since the check began
	task    target.Task // the newest that the worker reported; ended ones stay
	expires time.Time   // the holder's deadline of the lease
	longest time.Time   // the latest deadline that was sent, answered or not; zero if only a hold was
	stopAt  time.Time   // when a stop is sent again
}

// report takes the worker's word. A report that comes late, after one that
// showed the end, changes nothing: an end is final.
func (p *part) report(t target.Task) {
	p.seen = true
	if p.task.State.Ended() {
		if p.task.State == target.Succeeded && t.State == target.Succeeded {
			p.task = t
		}
		return
	}
	p.asked, p.held = true, true
	p.task = t
	switch t.State {
	case target.Started, target.Confirmed, target.Succeeded, target.Failed:
		p.told, p.started = true, true
	case target.Stopped:
		p.started = p.started || !t.Since.IsZero()
		p.refused = p.refused || t.Since.IsZero()
	}
	if t.State.Ended() {
		p.over = true
	}
}

// mayHaveRun reports whether a start was sent and nothing proves that it did
// not take effect.
func (p *part) mayHaveRun() bool { return p.started || p.told && !p.refused }

// live reports whether the worker said that it runs and has not said that it
// is over.
func (p *part) live() bool { return p.started && !p.over }
