// Package failure proves what the system promises when something fails, over
// whole sites in one process with real TCP between their hosts. Each test tells
// its story first; verdicts are on counts and states. It has test files only.
package failure
