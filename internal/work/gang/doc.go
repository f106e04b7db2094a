// Package gang is the start protocol of one gang as a pure state machine.
//
// A gang stands on one or more workers; its part on a worker is all of its
// members there, under one lease. The phases:
//
//	Holding   the parts are held one after the other, in the order of worker ids
//	Claiming  the platform or the ticket's host decides who may start the job
//	Starting  every part was told to start; none is renewed
//	Running   every start is acknowledged; the parts are renewed
//	Checking  it is not known how the parts stand; nothing is renewed or stopped
//	          until the workers have said, or a deadline passes
//	Ending    every part is told to stop until each is known to be over
//	Over      nothing of it runs; Result says how it came out
//
// The order of holds is the same for every placer, so that two placers never
// wait on each other in a circle. A Gang takes facts and the time and returns
// steps to be taken; it has no clock, random source, input or output.
package gang
