// Package roster knows the targets that have registered with the platform.
package roster
