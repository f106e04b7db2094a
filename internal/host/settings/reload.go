package settings

import (
	"maps"

	"guavaglade.example/guavaglade/internal/config/document"
)

// ReloadResult lists the changed keys of a reload, as section.key.
type ReloadResult struct {
	Changed     []string // applied
	NeedRestart []string // not applied; they need a restart
}

// Reload returns a copy of the settings with the values of next that a running host can
// apply. The other keys keep their values; those that differ in next are listed as
// needing a restart.
func (s Settings) Reload(next Settings) (Settings, ReloadResult) {
	current := s
	current.sources = maps.Clone(s.sources)
	var result ReloadResult
	for _, f := range fields {
		switch {
		case f.format(&s) == f.format(&next):
		case f.reload == nil:
			result.NeedRestart = append(result.NeedRestart, f.name())
		default:
			f.reload(&current, &next)
			current.sources[f.name()] = next.sources[f.name()]
			result.Changed = append(result.Changed, f.name())
		}
	}
	return current, result
}

// IsSettings reports whether a text is the settings of a host, and not a configuration:
// only settings have a section host.
func IsSettings(body []byte) bool { return document.Read(body).Section("host").Line() > 0 }
