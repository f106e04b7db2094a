// Package document reads an INI text and knows on which line everything stands.
//
// The INI library gives sections, keys and values but no lines, and stops at
// the first line that it cannot read. A pass over the lines notes where each
// section and key stands, and takes out the lines that the library would
// refuse or read in a way that surprises: so one reading gives all faults, each
// with its line.
//
// What is allowed is a plain subset of INI: one key = value a line, sections in
// square brackets, comments that begin with # or ; on a line of their own or
// after a space. A value never goes on over the end of its line, and no value
// refers to another key. Lines may end with LF or CRLF and the text may begin
// with a byte order mark.
package document
