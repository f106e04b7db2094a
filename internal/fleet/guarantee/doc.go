// Package guarantee holds what client accounts were promised in a zone and
// the plan that keeps it possible.
//
// A Guarantee is one account's right to a number of gangs of one shape at the
// same time in one availability zone. The invariant, kept at each decision:
// the unclaimed part of every account's guaranteed shapes can be packed at once
// onto cells that are free or hold only work that can be stopped.
package guarantee
