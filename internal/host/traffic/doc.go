// Package traffic counts the bytes that a host reads and writes, by whom it
// talks with, so that its share of the network can be watched and held against
// a budget.
//
// Bytes are those of the TCP streams: under TLS the encrypted ones, without the
// headers of TCP and IP.
package traffic
