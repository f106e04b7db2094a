// Package api implements the HTTP API for clients and operators, under /v1.
//
// Clients and operators send the key of their client account as a bearer token.
// An account sees only its own jobs. Errors are problem details as in RFC 9457.
// docs/openapi.yaml describes each call.
//
// On a platform that has its own interface for clients, the platform's adapter serves
// that interface instead. Only Views is then served, to operators, at the address of
// the metrics.
package api
