// Package graph is what a client asks for: a job made of steps that depend on
// each other, each of many alike tasks.
//
// A Job is immutable once it was accepted. A Step's tasks run independently, or
// as a gang: all together or not at all. A job may recur; each Occurrence runs
// all steps once. A TaskID names one task of one occurrence, and a run of it is
// told apart by a number that rises with each start.
package graph
