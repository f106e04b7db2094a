// Package shape describes the resources and the adjacency that a gang needs, and checks
// whether a set of gangs fits into an availability zone at once. The configuration text
// describes jobs and guarantees by shape.
package shape
