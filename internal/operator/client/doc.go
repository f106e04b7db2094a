// Package client calls the HTTP API of a host, for the command line and the
// demo.
package client
