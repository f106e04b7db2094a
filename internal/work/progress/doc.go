// Package progress is the durable state of an accepted job, which outlives the
// hosts: which tasks are done, which of their runs failed, the checkpoints from
// which they resume, where runs may exist, and the job's final state.
package progress
