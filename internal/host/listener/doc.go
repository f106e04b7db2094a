// Package listener bounds the connections that a host holds open at once.
package listener
