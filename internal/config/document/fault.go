package document

import (
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a text.
type Fault struct {
	Line    int    `json:"line"`              // from 1; 0: the text as a whole
	Section string `json:"section,omitempty"` // as in the text, without brackets; empty if none
	Key     string `json:"key,omitempty"`     // empty if the fault is not about one key
	Reason  string `json:"reason"`            // says what to do where that is not plain
}

// Error returns the fault in one line, with its place first.
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

// Faults is all that is wrong with a text, sorted by line. An empty Faults
// says that nothing is.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

func (fs Faults) sorted() Faults {
	out := slices.Clone(fs)
	slices.SortStableFunc(out, func(a, b Fault) int { return a.Line - b.Line })
	return out
}
