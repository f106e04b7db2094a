// Package cell describes what a fleet consists of and what a job asks of it.
//
// A Worker has accelerators, cores, memory and slots, and stands in a rack of
// an availability zone. A Shape is what a gang asks for: a number of members,
// and what each of them needs. An Assignment says which member gets which
// accelerators of which worker. An Inventory knows what is free.
//
// Accelerators of a worker are numbered from 0; a set of them is a bit mask.
// Memory is in megabytes, cores are whole.
package cell
