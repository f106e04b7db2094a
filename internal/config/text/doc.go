// Package text reads the configuration text by which operators drive the
// system, and checks it.
//
// The text is INI. Its sections are named by a kind and a name:
//
//	[service NAME]        what a service wants: weights, objective, dependencies
//	[job SERVICE.NAME]    a job the service runs, with its shape
//	[account NAME]        a client account: hashed key and weight
//	[guarantee ACCOUNT.NAME]  a guaranteed shape of the account, per zone
//	[target NAME]         an operator's word on a worker
//
// A Config is the meaning of a text that was checked without an error.
package text
