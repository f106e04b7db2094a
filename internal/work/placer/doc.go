// Package placer is the decision logic of a zone's placer as a pure state
// machine: Step takes an event and the time and returns commands.
//
// The placer of a zone is whichever host the rendezvous hash names; two at
// once waste work but break no promise, since a worker admits or refuses a hold
// by itself and a claim in the platform's table fences what must run once.
//
// The start of a gang: hold every member on its workers under one lease, in
// one fixed order; claim the attempt if the job needs it; start every worker's
// members; renew only after every start is acknowledged. Any refusal before the
// first start releases all holds.
//
// A Machine has no goroutine, clock, input or output of its own.
package placer
