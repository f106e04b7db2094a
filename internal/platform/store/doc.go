// Package store is the way to the platform's table of rows: conditional
// transactions, ranges read as of one moment, and a feed of changes.
//
// A row stands in a part of a table. A transaction covers rows of one part, in
// any tables, and applies wholly or not at all. Versions come from one counter
// that rises with each transaction; version 0 stands for a row that is not
// there. An answer may be lost after a write took effect, and a write whose
// answer was lost may still take effect later if its conditions hold then: the
// error is ErrUnknown, and only reading back, or a later write under a
// condition that excludes the lost one, settles what happened.
package store
