package settings

import (
	"fmt"
	"os"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
)

// Error tells all that is wrong with a settings file.
type Error struct {
	file   string
	faults document.Faults // never empty
}

// Faults returns what is wrong, sorted by line.
func (e *Error) Faults() document.Faults { return e.faults }

// Error returns a line for each fault, with file and line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, e.file+": "+f.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings of a file.
func Load(file string) (Settings, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, body)
}

// Parse reads settings. The name stands for the file in errors, which are of
// type *Error and tell all faults at once.
func Parse(name string, body []byte) (Settings, error) {
	d := document.Read(body)
	s := defaults()
	for _, f := range fields {
		at := d.Section(f.section)
		if f.required {
			at.Require(f.key)
		}
		f.read(at, f.key, &s)
		if at.Has(f.key) {
			s.origins[f.name()] = fmt.Sprintf("%s:%d", name, at.KeyLine(f.key))
		}
	}
	s.checkFiles(d)
	checkSections(d)
	if faults := d.Faults(); len(faults) > 0 {
		return Settings{}, &Error{file: name, faults: faults}
	}
	return s, nil
}

// checkFiles refuses TLS that is half set: a host without one of the files
// would start in plain text, which its operator did not mean.
func (s *Settings) checkFiles(d *document.Document) {
	at := d.Section("tls")
	for _, group := range [][]string{{"callerCert", "callerKey"}, {"peerCert", "peerKey", "peerCA"}} {
		set := 0
		for _, key := range group {
			if at.Has(key) {
				set++
			}
		}
		if set == 0 || set == len(group) {
			continue
		}
		for _, key := range group {
			if !at.Has(key) {
				at.Faultf(key, "missing; %s are set together or not at all", strings.Join(group, ", "))
			}
		}
	}
}

func checkSections(d *document.Document) {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.section] = true
	}
	for _, at := range d.Sections() {
		if known[at.Name()] {
			at.CheckUnknownKeys()
			continue
		}
		at.Fault("", "unknown section; known are host, platform, tls, operator, limits")
	}
}
