// Package deployment proves what the system promises over a whole deployment in
// virtual time: hosts that elect a leader, dispatch and take requests, over
// stand-ins of the store and of the targets, while hosts, links, the store and
// targets fail. Each start that a target begins is judged; at the end every
// accepted job has come to its end. It has test files only.
package deployment
