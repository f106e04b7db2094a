// Package roster describes the targets that have registered with the platform.
package roster
