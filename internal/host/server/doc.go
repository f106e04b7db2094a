// Package server runs one entry host: it gives the pure machines of the entry
// and the placer their events, and carries out their commands.
//
// One goroutine, the loop, owns all state. Everything that waits (a call to a
// worker, a peer or the platform) runs in a goroutine of its own and gives its
// result back to the loop. So no lock is held while anything waits.
//
// Every host is an entry. The host that the rendezvous hash names for its zone
// also runs the placer; it keeps it while it is named, and starts from nothing
// but the workers' lists when it is named again.
package server
