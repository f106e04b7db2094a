// Package placement decides which cells a gang gets.
//
// A Zone knows the workers of one availability zone, what is held on them and
// what is guaranteed there. A Policy chooses among the places that are allowed:
// Cells is the product's, FirstFit and BestFit are baselines. All of it is pure:
// no clock, no goroutine, no random source of its own.
//
// The usual course: Place says where a request fits without stopping anything,
// and Take gives it the place. A request with a claim that finds no place asks
// Reclaim which gangs to stop; when they have ended and are freed, it takes the
// place that Reclaim named. Adopt books what runs already.
package placement
