// Package site runs several hosts of the system in one process, with the system's own
// HTTP interface, in several availability zones and with real TCP between them and
// their callers. The caller provides their connections to the platform.
package site
