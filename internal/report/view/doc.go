// Package view defines what operators and clients read of the system: jobs and their
// histories, the fleet, and the configuration that each host has in force.
package view
