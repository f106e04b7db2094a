// Package settings holds the settings of one process: its addresses and availability
// zone, the platform, TLS files and limits. They do not name other hosts: each host finds
// the leader in the platform's store, and the leader knows the other hosts.
//
// Settings are an INI file. Every key is checked: an unknown key or section, or a host
// name in place of an IP address, is reported with file, line and reason, and all faults
// are reported together. Settings share only the syntax with the configuration text: they
// are read at start and on reload, and concern one host.
//
//	[host]       zone, callerAddress, peerAddress, logLevel
//	[platform]   address
//	[tls]        callerCert, callerKey, peerCert, peerKey, peerCA
//	[operator]   keyHash
//	[limits]     bodies, headers, connections, times
package settings
