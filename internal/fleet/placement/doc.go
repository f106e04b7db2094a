// Package placement decides which cells a gang gets.
//
// A Zone knows the workers of one availability zone, what is held on them and
// what is guaranteed there. A Policy chooses among the places that are allowed.
// All of it is pure: no clock, no goroutine, no random source of its own.
package placement
