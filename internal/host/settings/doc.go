// Package settings holds what one process of the system is told when it starts:
// its addresses and availability zone, its peers, the platform, TLS files and
// limits.
//
// Settings are INI. Every key is checked; an unknown key or section and a host
// name in place of an IP number are refused with file, line and reason, all
// faults at once. What they share with the configuration text is the form only:
// settings are read once at the start and concern one host.
//
//	[host]       zone, callerAddress, peerAddress, logLevel
//	[peers ZONE] addresses of the hosts of one availability zone
//	[platform]   address, writesPerSecond, readsPerSecond
//	[tls]        callerCert, callerKey, peerCert, peerKey, peerCA
//	[operator]   keyHash
//	[limits]     bodies, headers, connections, times, queue
package settings
