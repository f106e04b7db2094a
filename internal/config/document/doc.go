// Package document reads INI text and reports every fault with its line number.
//
// The INI library returns sections, keys and values without line numbers and
// stops at the first invalid line. A scan of the text therefore records the line
// of each section and key first, and removes the lines that the library would
// reject or interpret in an unexpected way. A single read thus reports all faults.
//
// The accepted syntax is a subset of INI: one key = value per line, section names
// in square brackets, and comments that begin with # or ; on a line of their own or
// after a space. Values do not span lines and do not refer to other keys. Lines end
// with LF or CRLF, and the text may begin with a byte order mark.
package document
