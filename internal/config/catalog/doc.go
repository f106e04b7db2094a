// Package catalog is the configuration in force: queues that accept jobs, services
// whose targets run them, client accounts with their keys and guarantees, and limits.
//
// A Catalog is immutable. A Keeper holds the one in force on a host, whose version
// only rises.
package catalog
