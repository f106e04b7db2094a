// Package burn reports how fast services use up their error budgets.
//
// A service-level objective promises a share of good requests: answered well,
// and within a time. The rest is the error budget. The burn rate over a window
// is the share of bad requests divided by the share that the objective allows:
// at 1 the budget lasts exactly, at 10 it is gone in a tenth of the time.
//
// Two pairs of windows are watched. An alert holds while both windows of a pair
// burn faster than its threshold: the long one says that it matters, the short
// one that it still goes on.
//
//	fast  1 h and 5 min   above 14.4
//	slow  6 h and 30 min  above 6
//
// A Recorder counts on one host, in minutes, with bounded memory. Its Snapshot
// travels as JSON; Merge joins those of several hosts; Report works out the
// figures. The budget left is that of the last six hours: hosts keep nothing
// for longer. Latencies are kept in HDR histograms of three hours each, and the
// report covers the last two of these, which is between three and six hours.
//
// Time is passed in and nothing here does input or output.
package burn
