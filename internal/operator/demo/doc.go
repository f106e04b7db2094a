// Package demo runs stand-ins, three zones and six hosts in one process, with
// real TCP between them, and shows what the system does.
package demo
