// Package api is the product's own interface: what clients and operators reach
// over HTTP, under /v1.
//
// Clients and operators show the key of their client account as a bearer token.
// An account sees its own jobs only. Errors are problem details as in RFC 9457.
// docs/openapi.yaml describes each call.
//
// Where a platform has an interface of its own for clients, its adapter serves
// that in place of this one; Views alone are then served to operators, at the
// address where metrics are.
package api
