// Package peer carries calls between the hosts of the system: JSON-RPC 2.0 over
// TCP, over TLS if a configuration is given.
//
// A Net keeps one connection to each peer and makes it when it is first needed.
// A call that fails drops the connection, so the next one dials again,
// unless the peer was heard on it meanwhile.
package peer
