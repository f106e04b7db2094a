// Package session proves what callers and operators are told, word for word: it
// plays whole sessions against a site and holds each request and answer against
// a golden file. Times, addresses and the like are replaced by fixed words. It
// has test files only; go test ./internal/proof/session -update rewrites the
// golden files.
package session
