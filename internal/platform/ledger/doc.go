// Package ledger keeps in the platform's table what must outlive the hosts:
// claims, durable jobs, outcomes and configurations.
//
// Rows:
//
//	jobs/ZONE/ID                 a durable job that has no outcome yet
//	claims/ID                    the record of a job: who may start it, and its outcome
//	config/current               number, change id and digest of the current version
//	config/body/VERSION/CHANGE   a version's text, written before it is current
//
// A job's record is one row, so that one conditional write decides between a
// claim, a refusal and an outcome. These are its rules:
//
//   - A job that is not repeatable has at most one winning attempt ever: its
//     claim is written only if the record shows no attempt.
//   - A repeatable job's attempt is claimed only by replacing the record that
//     was read, and only if that shows an attempt of an older round. So of two
//     placers that both want the next round one wins, and attempts only rise.
//   - A refusal is written only if the record shows no attempt, and a claim only
//     if it shows no refusal: a job that was refused never starts, one that may
//     have started is never refused.
//   - An outcome is written only if there is none yet and its attempt is not
//     older than the one that was claimed. Late, doubled and crossed reports
//     change nothing. After an outcome there are no more claims.
//   - That a job did not run although it was claimed is taken only from the
//     host that claimed it, and only if no other host ever did. By saying so
//     the host gives up its claims that are not known yet.
//   - A record is removed a stated time after it ended.
//
// A write whose answer was lost is settled by reading the row back and by
// writing again under the same condition: each write carries a nonce, so its
// writer knows it again, and of the two writes at most one takes effect. What
// cannot be settled before the caller's deadline is said to be not known
// (table.ErrUnknown), never guessed.
//
// Reads may be older than the row: nothing is concluded from a read but that
// what it shows was there. Only the answer to a conditional write tells what is.
package ledger
