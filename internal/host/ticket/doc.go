// Package ticket lets a request that must not be repeated run in an
// availability zone that is cut off from the platform.
//
// The platform's claim cannot be had there, so another authority is needed that
// exists once: the memory of one process. A ticket names the host that issued
// it and that host's incarnation. Only that incarnation can spend it, once; any
// other host passes the request on to it and to nobody else, and a ticketed
// request is never claimed in the table. If the incarnation dies, the ticket is
// dead with it: the request is lost or was not run, and never runs twice.
//
// A ticket that was not spent costs no memory: it is signed with a key that the
// process made at its start and never shows. A spent one is remembered until
// its stored deadline and at least for KeepFor.
package ticket
