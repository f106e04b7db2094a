// Package inforce keeps the configuration that is in force on a host, and what
// hosts are heard to have in force.
//
// Versions only rise: a host keeps the highest it has seen and never goes back,
// also if the platform or a peer later answers with an older one, or after the
// host was paused. Versions travel as numbers; the text is fetched only when a
// number is newer than the one held (Wants), from a peer or the platform.
//
// A version stands for one text. The same version with another text means that
// two writers did not go through the platform's conditional write; the text in
// force is kept, and the other one refused loudly (ErrConflicting). A text that
// this host cannot parse, written for a newer version of the system, leaves the
// older one in force and is reported (ErrUnreadable).
package inforce
