// Package process runs a scheduler as one process, with the HTTP API for callers, JSON-RPC
// between hosts, metrics, TLS on its listeners, reloading of settings, and the planned
// stop.
package process
