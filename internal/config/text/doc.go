// Package text parses and validates the configuration text that operators write.
//
// The text is INI, read by package document. Each section header consists of a kind
// and a name; sections may appear in any order:
//
//	[zone NAME]               racks and workers of an availability zone, optional
//	[service NAME]            weights, objective and dependencies of a service
//	[job SERVICE.NAME]        a kind of job that the service runs, with its shape
//	[account NAME]            a client account: hashed key and weight
//	[guarantee ACCOUNT.NAME]  a shape guaranteed to the account, per zone
//	[target NAME]             whether a target is drained
//	[evacuation ZONE]         whether a zone is evacuated
//
// Check returns all faults of a text, each with its line number. Parse returns a
// Config if the text has no faults.
package text
