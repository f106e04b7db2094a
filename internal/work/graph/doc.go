// Package graph describes jobs as clients submit them: steps that depend on each
// other, each a number of identical tasks.
//
// A Job is immutable once it was accepted. A Step's tasks run independently, or
// as a gang: all together or not at all. A job may recur; each occurrence runs
// all steps once. A TaskID names one task of one occurrence; its runs are told
// apart by a number that rises with each start.
package graph
