// Package stages divides the time from a job's acceptance to the publication of its end
// into stages, and names the causes for which runs end otherwise than as done.
//
// A timeline is advanced from one boundary to the next, each of which ends a stage. A
// boundary that is not known or lies before an earlier one adds nothing, so the stages
// add up to the whole and none is negative, also if events come late or in another order.
package stages
