package settings

import (
	"fmt"
	"os"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/host/admission"
)

// Error contains all faults of a settings file.
type Error struct {
	file   string
	faults document.Faults // never empty
}

// Faults returns the faults, sorted by line.
func (e *Error) Faults() document.Faults { return e.faults }

// Error returns a line for each fault, with file and line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, e.file+": "+f.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads settings from a file and parses them.
func Load(file string) (Settings, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, body)
}

// Parse parses settings. Errors are of type *Error, contain all faults, and name the file.
func Parse(name string, body []byte) (Settings, error) {
	d := document.Read(body)
	s := defaults()
	for _, f := range fields {
		section := d.Section(f.section)
		if f.required {
			section.Require(f.key)
		}
		f.read(section, f.key, &s)
		if section.Has(f.key) {
			s.sources[f.name()] = fmt.Sprintf("%s:%d", name, section.KeyLine(f.key))
		}
	}
	s.checkTLS(d)
	s.checkMemory(d)
	checkSections(d)
	if faults := d.Faults(); len(faults) > 0 {
		return Settings{}, &Error{file: name, faults: faults}
	}
	return s, nil
}

// checkTLS refuses incomplete TLS settings. With one file missing, the host would
// otherwise start without TLS, which its operator did not intend.
func (s *Settings) checkTLS(d *document.Document) {
	section := d.Section("tls")
	for _, group := range [][]string{{"callerCert", "callerKey"}, {"peerCert", "peerKey", "peerCA"}} {
		count := 0
		for _, key := range group {
			if section.Has(key) {
				count++
			}
		}
		if count == 0 || count == len(group) {
			continue
		}
		for _, key := range group {
			if !section.Has(key) {
				section.Faultf(key, "missing; %s are set together or not at all", strings.Join(group, ", "))
			}
		}
	}
}

// checkMemory refuses limits of a request that the memory does not allow beside others: such a
// request would be accepted on an idle host only.
func (s *Settings) checkMemory(d *document.Document) {
	const megabyte = 1 << 20
	if least := admission.MemoryFor(s.limits.MaxHeaderBytes, s.limits.MaxBodyBytes); least > s.MaxMemory() {
		d.Section("limits").Faultf("maxMemory", "%d: requests of maxHeader and maxBody need at least %d", s.limits.MaxMemory, (least+megabyte-1)/megabyte)
	}
}

// checkSections adds a fault for each unknown section and each unknown key of a known
// one. It must be called after all fields are read.
func checkSections(d *document.Document) {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.section] = true
	}
	for _, section := range d.Sections() {
		if known[section.Name()] {
			section.CheckUnknownKeys()
			continue
		}
		section.Fault("", "unknown section; known are host, platform, tls, operator, limits")
	}
}
