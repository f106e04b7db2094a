package document

import (
	"fmt"
	"slices"
	"strings"
)

// Fault describes one error in a text and its position.
type Fault struct {
	Line    int    `json:"line"`              // counted from 1; 0: the text as a whole
	Section string `json:"section,omitempty"` // name without brackets; empty if none
	Key     string `json:"key,omitempty"`     // empty if the fault does not concern a single key
	Reason  string `json:"reason"`            // includes the remedy where it is not obvious
}

// Error returns the fault on one line, preceded by its position.
func (f Fault) Error() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Faults holds all faults of a text, sorted by line. It is empty for a valid text.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// sortedByLine returns a sorted copy. Faults of the same line keep their order.
func (fs Faults) sortedByLine() Faults {
	out := slices.Clone(fs)
	slices.SortStableFunc(out, func(a, b Fault) int { return a.Line - b.Line })
	return out
}
