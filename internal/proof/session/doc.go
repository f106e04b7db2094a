// Package session tests the exact answers that callers and operators get: it runs whole
// sessions against a site and compares each request and answer with a golden file, in
// which placeholders stand for times, addresses and other varying values. It has test
// files only; go test ./internal/proof/session -update rewrites the golden files.
package session
