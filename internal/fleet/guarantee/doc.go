// Package guarantee holds what client accounts were promised in a zone and
// the plan that keeps it possible.
//
// A Guarantee is one account's right to a number of gangs of one shape at the
// same time in one availability zone. The invariant, kept at each decision:
// the unclaimed part of every account's guaranteed shapes can be packed at once
// onto cells that are free or hold only work that can be stopped.
//
// A Plan keeps it by setting concrete room aside for each guaranteed gang, its
// unit. A gang of the account that uses a unit claims it. Idle room of unclaimed
// units is lent to work that can be stopped. A unit for which there is no room,
// since workers were lost or work ran before it was promised, is at risk until a
// Repair finds some; a part of its room is kept in the meantime.
//
// Firm work is what a reclaim cannot end: gangs that cannot be stopped and gangs
// that claim a unit.
package guarantee
