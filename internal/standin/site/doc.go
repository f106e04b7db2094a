// Package site starts a whole small site in one process: the stand-in platform
// and targets, and hosts in several availability zones with real TCP between
// them on loopback. The demo and the failure tests use it.
package site
