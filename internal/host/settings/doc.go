// Package settings holds what one process of the system is told when it starts:
// its addresses and availability zone, the platform, TLS files and limits. Other
// hosts are not named: each finds the leader by the platform's store, and the
// leader knows the others.
//
// Settings are INI. Every key is checked; an unknown key or section and a host
// name in place of an IP number are refused with file, line and reason, all
// faults at once. What they share with the configuration text is the form only:
// settings are read once at the start and concern one host.
//
//	[host]       zone, callerAddress, peerAddress, logLevel
//	[platform]   address
//	[tls]        callerCert, callerKey, peerCert, peerKey, peerCA
//	[operator]   keyHash
//	[limits]     bodies, headers, connections, times
package settings
