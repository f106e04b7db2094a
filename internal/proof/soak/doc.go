// Package soak runs hosts as separate processes over a stand-in platform and does
// them harm from outside: proxies delay, reset, cut and silence their connections
// to the store and to targets, and signals pause, stop, kill and restart them. It
// checks what is promised from what clients and targets see. A script of faults is
// drawn from a seed; when each thing happens within a run is up to the machine.
package soak
