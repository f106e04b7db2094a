package settings

import (
	"maps"

	"guavaglade.example/guavaglade/internal/config/document"
)

// Reloaded is what became of settings that were read again.
type Reloaded struct {
	Changed []string // keys that were taken over, as section.key
	Restart []string // keys that only a new process takes over
}

// Reload returns the settings with those keys of a newer reading that a running
// host takes over.
func (s Settings) Reload(next Settings) (Settings, Reloaded) {
	now := s
	now.origins = maps.Clone(s.origins)
	var done Reloaded
	for _, f := range fields {
		switch {
		case f.show(&s) == f.show(&next):
		case f.take == nil:
			done.Restart = append(done.Restart, f.name())
		default:
			f.take(&now, &next)
			now.origins[f.name()] = next.origins[f.name()]
			done.Changed = append(done.Changed, f.name())
		}
	}
	return now, done
}

// Are reports whether a text is meant as settings of a host, and not as a
// configuration: it has the section that only those have.
func Are(body []byte) bool { return document.Read(body).Section("host").Line() > 0 }
