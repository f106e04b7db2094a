// Package deployment tests the guarantees of the system over a whole deployment in
// virtual time: hosts elect a leader, dispatch jobs and serve requests over stand-ins
// of the store and of the targets, while hosts, links, the store and targets fail.
// The stand-in checks each start on a target against the guarantees, and at the end
// of a test every accepted job must have ended. It has test files only.
package deployment
