// Package process runs a scheduler as one process, with the HTTP API for callers, TLS on
// its listeners, reloading of settings, and the planned stop.
package process
