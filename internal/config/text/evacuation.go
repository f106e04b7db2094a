package text

import (
	"bytes"
	"strings"

	"guavaglade.example/guavaglade/internal/config/document"
)

const (
	evacuationKind = "evacuation"
	evacuationKey  = "active"
)

// evacuation reads a section [evacuation ZONE], which says whether the zone is
// evacuated: no task is started in such a zone. If the text describes zones, the zone
// must be one of them.
func (r *reader) evacuation(zone string, section *document.Section) {
	active := section.Bool(evacuationKey, true)
	if !targetName.MatchString(zone) {
		section.Faultf("", "name %q: want 1 to 255 letters, digits and . _ : / -", zone)
		return
	}
	if _, known := r.zones[zone]; !known && len(r.zones) > 0 {
		section.Faultf("", "zone %q is not described, though others are", zone)
	}
	if active {
		r.config.evacuated[zone] = true
	}
}

// SetEvacuated returns the text with a zone's evacuation turned on or off and all other
// lines unchanged. It reports whether the text changed. It adds a section if the text
// has none for the zone and on is true. It does not check the text.
func SetEvacuated(body []byte, zone string, on bool) (result []byte, changed bool) {
	header := "[" + evacuationKind + " " + zone + "]"
	value := evacuationKey + " = false"
	if on {
		value = evacuationKey + " = true"
	}
	lines := strings.Split(string(body), "\n")
	begin, end := findSection(lines, header)
	if begin < 0 {
		if !on {
			return body, false
		}
		text := bytes.TrimRight(body, "\n")
		return append(text[:len(text):len(text)], []byte("\n\n"+header+"\n"+value+"\n")...), true
	}
	for i := begin + 1; i < end; i++ {
		key, current, _ := strings.Cut(lines[i], "=")
		if strings.TrimSpace(key) != evacuationKey {
			continue
		}
		if strings.TrimSpace(current) == strings.TrimPrefix(value, evacuationKey+" = ") {
			return body, false
		}
		lines[i] = value
		return []byte(strings.Join(lines, "\n")), true
	}
	if on {
		return body, false // the key defaults to true
	}
	lines = append(lines[:begin+1:begin+1], append([]string{value}, lines[begin+1:]...)...)
	return []byte(strings.Join(lines, "\n")), true
}

// findSection returns the index of a section's header and the index after its last
// line. The first is -1 if there is no such section.
func findSection(lines []string, header string) (begin, end int) {
	begin = -1
	for i, l := range lines {
		l = strings.TrimSpace(l)
		if begin >= 0 && strings.HasPrefix(l, "[") {
			return begin, i
		}
		if strings.Join(strings.Fields(l), " ") == header {
			begin = i
		}
	}
	return begin, len(lines)
}
