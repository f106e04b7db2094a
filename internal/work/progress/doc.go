// Package progress is what must outlive the hosts about a job that was
// accepted: which tasks are done, how often each failed, from which checkpoint
// it goes on, and the job's final state.
package progress
