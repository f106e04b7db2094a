// Command standin-2 plays the cases of the second review. It serves a stand-in of the
// platform's store and of its workers, starts the hosts of the system as separate
// processes, acts as their clients and checks one rule. Everything listens on loopback
// addresses and stops when the case is over.
package main
