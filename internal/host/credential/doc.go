// Package credential proves who talks to whom: TLS towards callers, mutual TLS
// between hosts, and the keys of client accounts.
//
// Certificate files are read again at each handshake, so that one that was
// replaced is used from the next connection on, without a restart. While a
// replacement cannot be used the one before it stays in use and the reason is
// reported once.
//
// A Key is the secret that a caller sends. It prints and logs as a fixed word,
// and is compared by its SHA-256 in constant time.
package credential
