package text

import (
	"regexp"
	"sort"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/fleet/shape"
)

// Fault is one thing that is wrong with a text: line, section, key and reason.
type Fault = document.Fault

// Faults is all that is wrong with a text, sorted by line.
type Faults = document.Faults

var (
	plainName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
	targetName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,254}$`)
)

// Parse reads a text and returns what it means. If the text has faults it
// returns them all, as Faults.
func Parse(body []byte) (*Config, error) {
	c, faults := read(body)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Check returns all that is wrong with a text, nil if nothing is.
func Check(body []byte) Faults {
	_, faults := read(body)
	return faults
}

// reader takes a document through the checks. The sections are kept by name,
// so that a check across sections can name a line.
type reader struct {
	doc        *document.Document
	config     *Config
	zones      map[string]*zone
	services   []*document.Section // in the order of the text, as the others
	jobs       []*document.Section
	accounts   []*document.Section
	guarantees []promise
}

// promise is a guarantee with its section.
type promise struct {
	at    *document.Section
	value shape.Guarantee
	zones []string
}

func read(body []byte) (*Config, Faults) {
	r := &reader{
		doc: document.Read(body),
		config: &Config{
			services:   map[string]Service{},
			accounts:   map[string]Account{},
			guarantees: map[string][]shape.Guarantee{},
			leaving:    map[string]bool{},
			evacuated:  map[string]bool{},
		},
		zones: map[string]*zone{},
	}
	r.sections()
	r.references()
	r.fits()
	return r.config, r.doc.Faults()
}

// sections reads the sections kind by kind, so that their order in the text
// does not matter.
func (r *reader) sections() {
	kinds := []struct {
		name string
		read func(name string, at *document.Section)
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
		for _, at := range r.doc.Sections() {
			kind, name, _ := strings.Cut(at.Name(), " ")
			if kind != k.name {
				continue
			}
			known[at] = true
			k.read(name, at)
			at.CheckUnknownKeys()
		}
	}
	for _, at := range r.doc.Sections() {
		if !known[at] {
			at.Fault("", "unknown kind of section; known are zone, service, job, account, guarantee, target, evacuation")
		}
	}
	if len(r.doc.Sections()) == 0 && len(r.doc.Faults()) == 0 {
		r.doc.Fault("empty text: it would take all services and client accounts out of force")
	}
}

// named reports whether a name is plain, and notes a fault if it is not.
func named(at *document.Section, name string) bool {
	if plainName.MatchString(name) {
		return true
	}
	at.Faultf("", "name %q: want 1 to 63 letters, digits, dashes and underscores", name)
	return false
}

// owned cuts OWNER.NAME, and notes a fault if it is not that.
func owned(at *document.Section, full string) (owner, name string, ok bool) {
	owner, name, ok = strings.Cut(full, ".")
	if !ok {
		at.Faultf("", "name %q: want OWNER.NAME with a dot", full)
		return "", "", false
	}
	return owner, name, named(at, owner) && named(at, name)
}

func shapeOf(at *document.Section) (s shape.Shape, ok bool) {
	const memoryDefault = 1024 // MB
	members := at.Int("members", 1, 1, shape.MaxMembers)
	accelerators := at.Int("accelerators", 0, 0, shape.MaxAccelerators)
	cores := at.Int("cores", 1, 0, 1<<16)
	memory := at.Int("memory", memoryDefault, 0, 1<<30)
	adjacency := at.Choice("adjacency", string(shape.Any), string(shape.Any), string(shape.SameRack), string(shape.SameWorker))
	s, err := shape.NewShape(members, accelerators, cores, memory, shape.Adjacency(adjacency))
	if err != nil {
		at.Fault("", err.Error())
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
