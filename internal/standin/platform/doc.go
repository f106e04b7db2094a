// Package platform is a small stand-in for the users' platform: its table, its
// object store and its lagging list of targets, in memory.
//
// It can be told to be down, to be slow, and to lose answers after a write
// took effect, by a PUT to /v1/faults.
package platform
