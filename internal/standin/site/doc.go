// Package site runs hosts of the system with its own interface in one process, in
// some availability zones, with real TCP between them and their callers. The ways to
// the platform are the caller's to give.
package site
