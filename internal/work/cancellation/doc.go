// Package cancellation keeps the cancellations of jobs that are not stored.
//
// A job may be stored after its cancellation was answered: by a call of the same submission that
// the store performs late, or by another host that still works on it. A Set holds the
// cancellations that such a job has to meet until their deadlines. It is the value of one row,
// which every write of a job expects unchanged: a job is stored only by a host that has read all
// cancellations that were stored before. The rows are a fixed number and a Set is bounded, so
// cancellations of unknown jobs cannot fill the store.
//
// The package decides; it makes no calls.
package cancellation
