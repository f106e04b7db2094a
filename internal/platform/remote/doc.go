// Package remote is the platform's table, object store and host list over HTTP.
//
// An error that arose before anything was sent wraps table.ErrUnavailable; one
// that arose after a write was sent wraps table.ErrUnknown.
package remote
