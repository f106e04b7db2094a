// Package process runs one host with its listeners: callers over HTTP, peers
// over JSON-RPC, metrics, and the planned stop.
package process
