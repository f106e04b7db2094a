package placer

import (
	"sort"
	"time"
)

// Times between the renewals of one worker.
const (
	renewGap   = 500 * time.Millisecond // at least, if the worker had nothing to say
	renewRetry = time.Second            // after a failure
	renewGiveU = RenewEvery + 2*time.Second
)

// keeper says which worker is to be asked next, and when: one question to a
// worker at a time, for all its leases together. It knows nothing of jobs, so
// that a share of the workers can be kept by another host of the zone.
type keeper struct {
	share func(worker string) bool // nil: all
	turns map[string]*turn
}

type turn struct {
	asked time.Time // when the question under way was sent
	open  bool      // a question is under way
	next  time.Time // when the next one is due; the zero time is at once
}

func newKeeper() *keeper { return &keeper{turns: map[string]*turn{}} }

// add makes a worker known; it is due at once.
func (k *keeper) add(worker string) {
	if _, ok := k.turns[worker]; !ok {
		k.turns[worker] = &turn{}
	}
}

// remove forgets a worker.
func (k *keeper) remove(worker string) { delete(k.turns, worker) }

// due returns the workers of the share that are to be asked now, sorted. A
// question that was not answered for renewGiveU is taken as lost.
func (k *keeper) due(now time.Time) []string {
	var ws []string
	for w, t := range k.turns {
		lost := t.open && !now.Before(t.asked.Add(renewGiveU))
		if (lost || !t.open && !now.Before(t.next)) && (k.share == nil || k.share(w)) {
			ws = append(ws, w)
		}
	}
	sort.Strings(ws)
	return ws
}

// ask notes that the worker is asked now.
func (k *keeper) ask(worker string, now time.Time) {
	t := k.turns[worker]
	t.asked, t.open = now, true
}

// answered notes an answer. news says that the worker had something to tell; it
// is then asked again at once, since more may follow.
func (k *keeper) answered(worker string, news bool, now time.Time) {
	t, ok := k.turns[worker]
	if !ok {
		return
	}
	t.open, t.next = false, now
	if gap := t.asked.Add(renewGap); !news && gap.After(now) {
		t.next = gap
	}
}

// failed notes that the worker could not be asked, or is to be asked again
// after a pause.
func (k *keeper) failed(worker string, now time.Time) {
	if t, ok := k.turns[worker]; ok {
		t.open, t.next = false, now.Add(renewRetry)
	}
}
