// Package fleet is a small stand-in for the users' targets: workers that hold,
// start, renew and stop leases as package target describes.
//
// A Worker is pure and takes the time with each call, so tests can drive it; a
// Server puts it behind HTTP. A task does what its input says, in JSON:
//
//	{"runMillis": 200, "answer": "text", "fail": false, "answerBytes": 0}
//
// Without runMillis it runs for the declared time, or 200 ms if there is none.
package fleet
