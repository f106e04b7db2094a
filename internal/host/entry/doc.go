// Package entry takes requests of clients: it stores jobs before it accepts
// them, stores cancellings, and tells states.
//
// A request whose outcome cannot be settled before its deadline is answered as
// not known: the client asks again with the same id. It is refused as not
// accepted only if nothing can have been stored.
package entry
