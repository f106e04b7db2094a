// Package burn reports how fast services consume their error budgets.
//
// A service-level objective sets the share of requests that must be good, that is,
// succeed within a time. The remaining share is the error budget. The burn rate over a
// window is the share of bad requests divided by the share that the objective allows:
// at 1 the budget lasts exactly, at 10 it is consumed in a tenth of the time.
//
// There are two pairs of windows. An alert is active while the burn rate of both
// windows of a pair is above its threshold: the long window shows that the loss is
// significant, the short one that it continues.
//
//	fast  1 h and 5 min   above 14.4
//	slow  6 h and 30 min  above 6
//
// A Recorder counts the requests of one host per minute in bounded memory. Snapshots
// are exchanged as JSON, Merge combines those of several hosts, and Report computes the
// burn rates. The budget left is that of the last six hours, since hosts keep no older
// counts. Latencies are kept in HDR histograms of three hours each; a report covers the
// last two of them, that is, the last three to six hours.
//
// Callers pass the time. Only the Write methods do output.
package burn
