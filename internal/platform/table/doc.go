// Package table is the way to the platform's transactional table, its object
// store and its list of hosts.
//
// A row has a key, a value and a version. The version of a row that is not
// there is 0 and rises by one with each write. A write names the version it
// expects; it takes effect only if that is the row's version. An answer may be
// lost after the write took effect: the error then is ErrUnknown, and only
// reading the row back settles what happened.
package table
