package text

import (
	"regexp"
	"sort"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// Fault describes one error in a text: line, section, key and reason.
type Fault = document.Fault

// Faults holds all faults of a text, sorted by line.
type Faults = document.Faults

var (
	plainName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	targetName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,254}$`)
)

// Parse returns the configuration that a text describes. If the text has faults, the
// error is of type Faults and contains all of them.
func Parse(body []byte) (*Config, error) {
	c, faults := read(body)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Check returns all faults of a text, nil if there are none.
func Check(body []byte) Faults {
	_, faults := read(body)
	return faults
}

// reader converts a document to a Config. It keeps the sections, so that faults found
// by checks across sections have line numbers.
type reader struct {
	doc        *document.Document
	config     *Config
	zones      map[string]*zone
	services   []*document.Section // in the order of the text, as below
	jobs       []*document.Section
	accounts   []*document.Section
	guarantees []guaranteeSection
}

// guaranteeSection is a guarantee and the section that defines it.
type guaranteeSection struct {
	section *document.Section
	value   shape.Guarantee
	zones   []string
}

// read returns the configuration and the faults of a text. If there are faults, the
// configuration is incomplete.
func read(body []byte) (*Config, Faults) {
	r := &reader{
		doc: document.Read(body),
		config: &Config{
			services:   map[string]Service{},
			accounts:   map[string]Account{},
			guarantees: map[string][]shape.Guarantee{},
			draining:   map[string]bool{},
			evacuated:  map[string]bool{},
		},
		zones: map[string]*zone{},
	}
	r.readSections()
	r.checkReferences()
	r.checkCapacity()
	return r.config, r.doc.Faults()
}

// readSections reads the sections grouped by kind, so that their order in the text
// does not matter.
func (r *reader) readSections() {
	kinds := []struct {
		name string
		read func(name string, section *document.Section)
	}{
		{"zone", r.zone},
		{"service", r.service},
		{"job", r.job},
		{"account", r.account},
		{"guarantee", r.guarantee},
		{"target", r.target},
		{evacuationKind, r.evacuation},
	}
	known := map[*document.Section]bool{}
	for _, k := range kinds {
		for _, section := range r.doc.Sections() {
			kind, name, _ := strings.Cut(section.Name(), " ")
			if kind != k.name {
				continue
			}
			known[section] = true
			k.read(name, section)
			section.CheckUnknownKeys()
		}
	}
	for _, section := range r.doc.Sections() {
		if !known[section] {
			section.Fault("", "unknown kind of section; known are zone, service, job, account, guarantee, target, evacuation")
		}
	}
	if len(r.doc.Sections()) == 0 && len(r.doc.Faults()) == 0 {
		r.doc.Fault("empty text: it would remove all services and client accounts")
	}
}

// checkName reports whether a name is valid, and adds a fault if it is not.
func checkName(section *document.Section, name string) bool {
	if plainName.MatchString(name) {
		return true
	}
	section.Faultf("", "name %q: want 1 to 63 letters, digits, dashes and underscores", name)
	return false
}

// splitOwnedName splits OWNER.NAME, and adds a fault if the name has another form.
func splitOwnedName(section *document.Section, fullName string) (owner, name string, ok bool) {
	owner, name, ok = strings.Cut(fullName, ".")
	if !ok {
		section.Faultf("", "name %q: want OWNER.NAME with a dot", fullName)
		return "", "", false
	}
	return owner, name, checkName(section, owner) && checkName(section, name)
}

// readShape reads the shape of a job or a guarantee. It adds a fault and returns false
// if the values together are not a valid shape; a single invalid value is a fault and
// replaced by its default.
func readShape(section *document.Section) (s shape.Shape, ok bool) {
	const defaultMemory = 1024 // MB
	members := section.Int("members", 1, 1, shape.MaxMembers)
	accelerators := section.Int("accelerators", 0, 0, shape.MaxAccelerators)
	cores := section.Int("cores", 1, 0, 1<<16)
	memory := section.Int("memory", defaultMemory, 0, 1<<30)
	adjacency := section.Choice("adjacency", string(shape.Any), string(shape.Any), string(shape.SameRack), string(shape.SameWorker))
	s, err := shape.New(members, accelerators, cores, memory, shape.Adjacency(adjacency))
	if err != nil {
		section.Fault("", err.Error())
		return shape.Shape{}, false
	}
	return s, true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
