// Package admission decides whether a host takes one more job.
//
// A host that holds many open jobs sheds load early, by class: ordinary work is
// refused first, work under a guarantee later, urgent work last. A request that
// is refused was not run, and its caller is told when to come back.
package admission
