package document

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Document is a parsed INI text. Reading values from its sections adds faults to it.
type Document struct {
	sections []*Section
	faults   Faults
}

// Read parses a text. Invalid lines are recorded as faults and skipped. A text longer
// than MaxTextBytes is not parsed: it has one fault and no sections.
func Read(body []byte) *Document {
	d := &Document{}
	if len(body) > MaxTextBytes {
		d.Fault(fmt.Sprintf("text has %d bytes; the limit is %d", len(body), MaxTextBytes))
		return d
	}
	scanned := scan(string(body))
	d.faults = scanned.faults
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(scanned.cleaned.String()))
	if err != nil {
		d.Fault(err.Error())
		return d
	}
	for _, name := range scanned.sections {
		d.sections = append(d.sections, newSection(d, scanned, file.Section(name)))
	}
	return d
}

// Sections returns the sections in the order of the text.
func (d *Document) Sections() []*Section { return d.sections }

// Section returns the section with the given name. If the text has no such section
// it returns an empty one, whose faults have no line number.
func (d *Document) Section(name string) *Section {
	for _, s := range d.sections {
		if s.name == name {
			return s
		}
	}
	return &Section{doc: d, name: name, values: map[string]entry{}}
}

// Fault adds a fault of the text as a whole.
func (d *Document) Fault(reason string) {
	d.faults = append(d.faults, Fault{Reason: reason})
}

// Faults returns the faults found so far, sorted by line.
func (d *Document) Faults() Faults { return d.faults.sortedByLine() }
