// Package ledger keeps in the platform's table what must outlive the hosts:
// claims, durable jobs, outcomes and configurations.
//
// Rows, with the job's id or the version in the key:
//
//	jobs/ZONE/ID      a durable job that has no outcome yet
//	claims/ID         which attempt of a job may start, and by whom
//	outcomes/ID       the final state of a job that must be remembered
//	config/current    the number of the version in force
//	config/VERSION    a version's text, written before it is current
//
// A write whose answer was lost is settled by reading the row back: each row
// carries who wrote it, so the writer knows its own.
package ledger
