// Package store is the client interface of the platform's table store: conditional
// transactions, consistent range reads, and a change feed.
//
// A row belongs to a partition of a table. A transaction covers rows of one
// partition, in any tables, and is atomic. Versions come from one counter that rises
// with each transaction; version 0 stands for a row that does not exist. The answer
// to a write may be lost after it took effect, and a write whose answer was lost may
// still take effect later if its conditions hold then: the error is
// ErrOutcomeUnknown, and only reading back, or a later write under a condition that
// excludes the lost one, tells what happened.
package store
