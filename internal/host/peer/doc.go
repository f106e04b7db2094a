// Package peer carries calls between the hosts of the system: JSON-RPC 2.0 over TCP, and
// over TLS if it is configured.
//
// A Transport keeps one connection to each peer, which it opens when it is first needed. A
// call without an answer closes the connection, so that the next call dials again, unless the
// peer sent something on the connection during the call or the call was cancelled.
package peer
