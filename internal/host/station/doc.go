// Package station is one process of the system, whatever the interfaces are that
// lead to it: it takes part in the election, dispatches while it leads, keeps the
// configuration up to date, answers its peers and stores what clients ask for.
//
// What is outside is reached through ports: a store, a line to the targets, a
// roster of them and, where there is one, an adviser. A front for clients uses the
// Entry and the Catalog, and ends with the station's planned stop.
package station
