package document

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Document is a text that was read. Reading its values collects faults.
type Document struct {
	sections []*Section
	faults   Faults
}

// Read reads a text. Lines that cannot be read are faults; the others are there
// to be checked.
func Read(body []byte) *Document {
	d := &Document{}
	if len(body) > MaxText {
		d.Fault(fmt.Sprintf("text of %d bytes; at most %d are read", len(body), MaxText))
		return d
	}
	l := scan(string(body))
	d.faults = l.faults
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(l.kept.String()))
	if err != nil {
		d.Fault(err.Error())
		return d
	}
	for _, name := range l.order {
		d.sections = append(d.sections, newSection(d, l, file.Section(name)))
	}
	return d
}

// Sections returns the sections in the order of the text.
func (d *Document) Sections() []*Section { return d.sections }

// Section returns the section of the name. If the text has none it returns an
// empty one, whose faults are about the text as a whole.
func (d *Document) Section(name string) *Section {
	for _, s := range d.sections {
		if s.name == name {
			return s
		}
	}
	return &Section{doc: d, name: name, values: map[string]entry{}}
}

// Fault notes what is wrong with the text as a whole.
func (d *Document) Fault(reason string) {
	d.faults = append(d.faults, Fault{Reason: reason})
}

// Faults returns what was found wrong up to now, sorted by line.
func (d *Document) Faults() Faults { return d.faults.sorted() }
