// Package rows is a small stand-in for the platform's table of rows, in memory.
//
// A Table is linearizable and loses nothing. A Link is one host's way to it: a
// test can take the link down, make it slow, or have it lose answers after a
// write took effect or have lost writes take effect later. Time is that of
// package time, so tests run it in a synctest bubble.
package rows
