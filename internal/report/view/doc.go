// Package view is what operators and clients read of the system: jobs and their
// stories, the fleet, and which configuration each host has in force.
package view
