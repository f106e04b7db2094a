// Package demo runs a stand-in platform and six hosts in three zones in one process, with
// real TCP between them, and demonstrates the system's main features.
package demo
