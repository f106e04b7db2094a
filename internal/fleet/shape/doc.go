// Package shape describes what a gang asks for, and tells whether a number of
// gangs can stand in an availability zone at once. The configuration text speaks
// of jobs and guarantees in shapes.
package shape
