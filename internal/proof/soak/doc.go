// Package soak runs hosts as separate processes over a stand-in platform and injects
// faults: proxies delay, reset and block their connections to the store and to targets,
// and signals pause, stop and kill them, after which they are started again. It checks
// the guarantees of the system against what clients and targets observe. The script of
// faults is drawn from a seed; the interleaving within a run depends on the machine.
package soak
