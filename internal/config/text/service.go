package text

import (
	"time"

	"guavaglade.example/guavaglade/internal/config/document"
)

// The range of an objective.
const (
	minObjectiveTarget = 0.01
	maxObjectiveTarget = 0.99999
	minObjectiveWithin = time.Millisecond
	maxObjectiveWithin = 30 * 24 * time.Hour
)

// maxDuration is the maximum declared run time of a job, and the maximum time that it
// may wait for its start.
const maxDuration = 30 * 24 * time.Hour

// Values of the key speeds.
const (
	speedsAlike   = "alike"
	speedsLearned = "learned"
)

// service reads a section [service NAME] and adds the service to the configuration
// unless its name is invalid. Its dependencies are checked once all sections are read.
func (r *reader) service(name string, section *document.Section) {
	s := Service{
		name:          name,
		completion:    section.Float("completionWeight", 0.5, 0, 1),
		fragmentation: section.Float("fragmentationWeight", 0.5, 0, 1),
		dependsOn:     section.List("dependsOn"),
		headroom:      section.Choice("headroom", "off", "on", "off") == "on",
		objective: Objective{
			Target: section.Float("objectiveTarget", 0, minObjectiveTarget, maxObjectiveTarget),
			Within: section.Duration("objectiveWithin", 0, minObjectiveWithin, maxObjectiveWithin),
		},
		learnsSpeeds: section.Choice("speeds", speedsAlike, speedsAlike, speedsLearned) == speedsLearned,
		kinds:        map[string]Kind{},
	}
	if section.Has("objectiveTarget") != section.Has("objectiveWithin") {
		section.Fault("", "objectiveTarget and objectiveWithin must be set together")
	}
	if s.completion == 0 && s.fragmentation == 0 {
		section.Fault("completionWeight", "both weights are 0; at least one must be positive")
	}
	if !checkName(section, name) {
		return
	}
	r.config.services[name] = s
	r.services = append(r.services, section)
}

// job reads a section [job SERVICE.NAME] and adds the kind of job to its service, which
// has been read before. It adds none if the service is not described or the name or
// shape is invalid.
func (r *reader) job(fullName string, section *document.Section) {
	repeatable := section.Bool("repeatable", true)
	_ = section.Bool("long", false) // ignored, accepted for older texts: every accepted job is stored
	k := Kind{
		repeatable:      repeatable,
		urgent:          section.Bool("urgent", false),
		stoppable:       section.Bool("stoppable", false),
		guaranteed:      section.Bool("guaranteed", false),
		declaredRunTime: section.Duration("declared", 0, 0, maxDuration),
		startIn:         section.Duration("startIn", 0, 0, maxDuration),

		weighted:      section.Has("completionWeight") || section.Has("fragmentationWeight"),
		completion:    section.Float("completionWeight", 0, 0, 1),
		fragmentation: section.Float("fragmentationWeight", 0, 0, 1),
	}
	if section.Has("completionWeight") != section.Has("fragmentationWeight") {
		section.Fault("", "completionWeight and fragmentationWeight must be set together")
	} else if k.weighted && k.completion == 0 && k.fragmentation == 0 {
		section.Fault("completionWeight", "both weights are 0; at least one must be positive")
	}
	// A stopped job is started again, so one that is not repeatable would run twice.
	if k.stoppable && !k.repeatable {
		section.Fault("stoppable", "a job that is not repeatable cannot be stopped and started again")
	}
	var shapeOK, ok bool
	k.shape, shapeOK = readShape(section)
	owner, name, ok := splitOwnedName(section, fullName)
	if !ok {
		return
	}
	service, ok := r.config.services[owner]
	if !ok {
		section.Faultf("", "service %q is not described; add [service %s]", owner, owner)
		return
	}
	if !shapeOK {
		return
	}
	k.name = name
	service.kinds[name] = k
	r.jobs = append(r.jobs, section)
}
