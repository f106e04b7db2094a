// Package text reads the configuration text by which operators drive the
// system, and checks it.
//
// The text is INI, read by package document. Its sections are named by a kind
// and a name, and may stand in any order:
//
//	[zone NAME]               an availability zone's racks and workers, if described
//	[service NAME]            what a service wants: weights, objective, dependencies
//	[job SERVICE.NAME]        a job the service runs, with its shape
//	[account NAME]            a client account: hashed key and weight
//	[guarantee ACCOUNT.NAME]  a guaranteed shape of the account, per zone
//	[target NAME]             an operator's word on a worker
//
// Check finds all faults of a text at once, each with its line. A Config is the
// meaning of a text without faults.
package text
