package text

import (
	"time"

	"guavaglade.example/guavaglade/internal/config/document"
)

// The bounds of an objective.
const (
	leastTarget = 0.01
	mostTarget  = 0.99999
	leastWithin = time.Millisecond
	mostWithin  = 30 * 24 * time.Hour
)

// mostRun bounds what a job may declare as its run time, or wait to start.
const mostRun = 30 * 24 * time.Hour

func (r *reader) service(name string, at *document.Section) {
	s := Service{
		name:          name,
		completion:    at.Float("completionWeight", 0.5, 0, 1),
		fragmentation: at.Float("fragmentationWeight", 0.5, 0, 1),
		dependsOn:     at.List("dependsOn"),
		objective: Objective{
			Target: at.Float("objectiveTarget", 0, leastTarget, mostTarget),
			Within: at.Duration("objectiveWithin", 0, leastWithin, mostWithin),
		},
		kinds: map[string]Kind{},
	}
	if at.Has("objectiveTarget") != at.Has("objectiveWithin") {
		at.Fault("", "objectiveTarget and objectiveWithin are set together or not at all")
	}
	if s.completion == 0 && s.fragmentation == 0 {
		at.Fault("completionWeight", "both weights are 0; one must be above")
	}
	if !named(at, name) {
		return
	}
	r.config.services[name] = s
	r.services = append(r.services, at)
}

func (r *reader) job(full string, at *document.Section) {
	repeatable := at.Bool("repeatable", true)
	_ = at.Bool("long", false) // older texts say it; every job that was taken is stored now
	k := Kind{
		repeatable: repeatable,
		urgent:     at.Bool("urgent", false),
		stoppable:  at.Bool("stoppable", false),
		guaranteed: at.Bool("guaranteed", false),
		declared:   at.Duration("declared", 0, 0, mostRun),
		startIn:    at.Duration("startIn", 0, 0, mostRun),

		weighted:      at.Has("completionWeight") || at.Has("fragmentationWeight"),
		completion:    at.Float("completionWeight", 0, 0, 1),
		fragmentation: at.Float("fragmentationWeight", 0, 0, 1),
	}
	if at.Has("completionWeight") != at.Has("fragmentationWeight") {
		at.Fault("", "completionWeight and fragmentationWeight are set together or not at all")
	} else if k.weighted && k.completion == 0 && k.fragmentation == 0 {
		at.Fault("completionWeight", "both weights are 0; one must be above")
	}
	// A job that was stopped is started again, which one that may not be
	// repeated must never be: it would run twice.
	if k.stoppable && !k.repeatable {
		at.Fault("stoppable", "a job that may not be repeated cannot be stopped and started again")
	}
	var shaped, ok bool
	k.shape, shaped = shapeOf(at)
	owner, name, ok := owned(at, full)
	if !ok {
		return
	}
	service, ok := r.config.services[owner]
	if !ok {
		at.Faultf("", "service %q is not described; add [service %s]", owner, owner)
		return
	}
	if !shaped {
		return
	}
	k.name = name
	service.kinds[name] = k
	r.jobs = append(r.jobs, at)
}
