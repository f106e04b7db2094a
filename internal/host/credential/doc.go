// Package credential authenticates callers and hosts: TLS for callers, mutual TLS
// between hosts, and the keys of client accounts.
//
// Certificate files are read again at each handshake, so that a replaced certificate
// is used from the next connection on, without a restart. While a replacement cannot be
// used, the previous certificate stays in use and the cause is reported once.
//
// A Key is the secret that a caller sends. It is redacted when it is printed or logged,
// and compared by its SHA-256 in constant time.
package credential
