// Package catalog is the configuration that is in force: queues that take jobs,
// services whose targets run them, client accounts with their keys and
// guarantees, and limits.
//
// A Catalog never changes once made. A Keeper holds the one in force on a host;
// versions only rise there.
package catalog
