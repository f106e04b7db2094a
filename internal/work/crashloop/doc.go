// Package crashloop decides whether a task crashes the targets that start it, from the
// targets that were lost while a run of it was there.
//
// Many runs share a target, and a target may be lost for reasons of its own: a rack or a
// zone loses power, a machine breaks. So a loss is weighed by what else had just begun on
// the target, and a task is blamed only if several losses point at it.
package crashloop
