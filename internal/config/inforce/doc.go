// Package inforce keeps the configuration that is in force on a host.
//
// Versions only rise: a host keeps the highest it has seen and never goes back,
// also if the platform or a peer later answers with an older one.
package inforce
