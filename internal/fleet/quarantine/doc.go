// Package quarantine tells workers that fail what they start from jobs that
// fail wherever they start.
//
// A worker is suspect when several distinct jobs failed on it in a window and
// its share of failed starts is far above that of its peers. It is then barred,
// never more than a set share of its rack at once, and returns by a probe: one
// job at a time, whose success lets it back and whose failure doubles its time
// out. A job that failed on several workers which others run well on is at
// fault itself: its failures count against no worker any more.
package quarantine
