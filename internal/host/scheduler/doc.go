// Package scheduler assembles one instance of the scheduler, as it runs on a host: it
// takes part in the election, dispatches while it leads, follows the stored
// configuration, answers its peers and stores the jobs that clients submit.
//
// It reaches the outside through ports: a store, a transport to the targets, a roster
// of them and, optionally, an adviser. A front end for clients uses the Entry and the
// Catalog, and finishes its requests during the planned stop.
package scheduler
