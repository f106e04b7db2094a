// Package api is what callers and operators reach over HTTP, under /v1.
//
// Callers and operators show the key of their client account as a bearer
// token. An account sees its own jobs only. Errors are problem details as in
// RFC 9457. docs/openapi.yaml describes each call.
package api
