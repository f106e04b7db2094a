// Package client calls the HTTP API of the hosts, for the command line and the demo.
package client
