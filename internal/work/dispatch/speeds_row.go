package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/speed"
)

// What a leader has learned of its targets' speeds takes minutes to learn again, under load. It is kept
// in a row for each service, so that the next leader knows it at once. The row is an aid only: nothing
// waits until it is read or written.

// SaveSpeeds requests that a service's row of speeds be written. The answer goes to Machine.SpeedsSaved
// or Machine.SpeedsNotSaved. A service has at most one save outstanding.
type SaveSpeeds struct {
	Service string
	Value   []byte
	Version int64 // version that the row must have; 0: it must not exist
}

func (SaveSpeeds) command() {}

// SpeedsRow is a service's row of speeds.
type SpeedsRow struct {
	Service string
	Value   []byte
	Version int64
}

// Bounds of saves of speeds.
const (
	// speedsSaveInterval is the shortest time between two saves of a service.
	speedsSaveInterval = 2 * time.Second
	// speedsRefreshInterval is the shortest time between two saves if only the certainty of speeds
	// has grown.
	speedsRefreshInterval = 30 * time.Second
	// maxSpeedsRow bounds the value of a row: half of the largest row that the store takes.
	maxSpeedsRow = 32 << 10
	// speedsRowVersion is the version of the form of the value.
	speedsRowVersion = 1
	// milli is the unit of numbers in the value, which are rounded to it.
	milli = 1000
)

// speedsRow is the state of a service's row.
type speedsRow struct {
	version     int64 // 0: there is none
	stored      speed.Snapshot
	byTarget    map[speed.Target]speed.Known // of stored
	sent        speed.Snapshot               // in the outstanding save
	outstanding bool
	nextSaveAt  time.Time // earliest time of the next save
	refreshAt   time.Time // earliest time of the next save if only the certainty has grown
}

// set records what the row holds.
func (r *speedsRow) set(s speed.Snapshot) {
	r.stored, r.byTarget = s, map[speed.Target]speed.Known{}
	for _, k := range s.Targets {
		r.byTarget[k.Target] = k
	}
}

// storedSpeeds is the value of a row.
type storedSpeeds struct {
	Form    int               `json:"v"`
	SavedAt int64             `json:"savedAt"` // milliseconds since 1970
	Spread  float64           `json:"spread"`
	Noise   float64           `json:"noise"`
	Targets map[string][2]int `json:"targets,omitempty"` // by incarnation: log of the slowness and its deviation, in thousandths
}

// Errors of rows of speeds.
var (
	errLaterForm     = errors.New("written by a later version of the program")
	errInvalidSpeeds = errors.New("a figure is out of range")
)

// encodeSpeeds returns the value of a row. It leaves out the last targets of a snapshot that do not fit.
func encodeSpeeds(s speed.Snapshot, savedAt int64) ([]byte, error) {
	v := storedSpeeds{Form: speedsRowVersion, SavedAt: savedAt, Spread: math.Round(s.Spread*milli) / milli, Noise: math.Round(s.Noise*milli) / milli, Targets: map[string][2]int{}}
	size := 200 // of the other figures, rounded up
	for _, k := range s.Targets {
		name := incarnationName(k.Target.ID, k.Target.StartedAt)
		figures := [2]int{int(math.Round(k.Log * milli)), max(int(math.Round(k.Deviation*milli)), 1)}
		size += len(strconv.Quote(name)) + len(strconv.Itoa(figures[0])) + len(strconv.Itoa(figures[1])) + len(":[,],")
		if size > maxSpeedsRow {
			break
		}
		v.Targets[name] = figures
	}
	value, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode speeds: %w", err)
	}
	return value, nil
}

// decodeSpeeds decodes the value of a row, and returns when it was saved, in milliseconds since 1970.
func decodeSpeeds(value []byte) (speed.Snapshot, int64, error) {
	var form struct {
		Form int `json:"v"`
	}
	if err := json.Unmarshal(value, &form); err != nil {
		return speed.Snapshot{}, 0, fmt.Errorf("decode speeds: %w", err)
	}
	if form.Form > speedsRowVersion {
		return speed.Snapshot{}, 0, fmt.Errorf("decode speeds: form %d: %w", form.Form, errLaterForm)
	}
	var v storedSpeeds
	if err := json.Unmarshal(value, &v); err != nil {
		return speed.Snapshot{}, 0, fmt.Errorf("decode speeds: %w", err)
	}
	if form.Form < 1 || v.Spread < 0 || v.Spread > maxStoredLog || v.Noise <= 0 || v.Noise > maxStoredLog {
		return speed.Snapshot{}, 0, fmt.Errorf("decode speeds: form %d, spread %v, noise %v: %w", form.Form, v.Spread, v.Noise, errInvalidSpeeds)
	}
	s := speed.Snapshot{Spread: v.Spread, Noise: v.Noise}
	for name, figures := range v.Targets {
		k := speed.Known{Log: float64(figures[0]) / milli, Deviation: float64(figures[1]) / milli}
		if math.Abs(k.Log) > maxStoredLog || k.Deviation <= 0 {
			return speed.Snapshot{}, 0, fmt.Errorf("decode speeds: target %s, log %v, deviation %v: %w", name, k.Log, k.Deviation, errInvalidSpeeds)
		}
		k.Target.ID, k.Target.StartedAt = parseIncarnation(name)
		s.Targets = append(s.Targets, k)
	}
	s.Sort()
	return s, v.SavedAt, nil
}

// maxStoredLog bounds the figures of a row: a target that is e^5 times slower than another would not be
// in use.
const maxStoredLog = 5

// RestoreSpeeds applies the rows of speeds that earlier leaders have written, and returns an error for
// each that it ignores. It is called when the rows have been read: before the first placement if they are
// read by then, and again if speeds of more services are learned. Without it the machine learns speeds, but
// does not save them.
func (m *Machine) RestoreSpeeds(rows []SpeedsRow, now time.Time) []error {
	m.speeds.restored = true
	var ignored []error
	for _, row := range rows {
		of := m.speedsOfService(row.Service)
		if of == nil || of.row.outstanding {
			continue
		}
		of.row.version = row.Version
		stored, savedAt, err := decodeSpeeds(row.Value)
		if err != nil {
			ignored = append(ignored, fmt.Errorf("speeds of service %s: %w", row.Service, err))
			continue
		}
		of.row.set(stored)
		current := m.knownIncarnations(stored)
		of.model.Restore(current, now.Add(-m.sinceWallMS(savedAt, now)))
		m.updateSpeeds(row.Service)
		m.log.Decided("target speeds restored", "service", row.Service, "targets", len(current.Targets), "ofRow", len(stored.Targets), "spread", round(of.model.Spread()))
	}
	return ignored
}

// sinceWallMS returns how long ago a time was, 0 if it is in the future: another host's clock may be
// ahead.
func (m *Machine) sinceWallMS(at int64, now time.Time) time.Duration {
	return time.Duration(max(m.wallMS(now)-at, 0)) * time.Millisecond
}

// knownIncarnations returns a snapshot without the targets of which another incarnation is known.
func (m *Machine) knownIncarnations(s speed.Snapshot) speed.Snapshot {
	current := speed.Snapshot{Spread: s.Spread, Noise: s.Noise}
	for _, k := range s.Targets {
		if t := m.targets[k.Target.ID]; t == nil || t.incarnation == k.Target.StartedAt {
			current.Targets = append(current.Targets, k)
		}
	}
	return current
}

// saveSpeeds issues a save for each service of which the row is out of date.
func (m *Machine) saveSpeeds(now time.Time) {
	if !m.speeds.restored {
		return // the version of the row is not known
	}
	for _, name := range m.speedServices() {
		of := m.speeds.byService[name]
		if of.row.outstanding || now.Before(of.row.nextSaveAt) {
			continue
		}
		of.row.nextSaveAt = now.Add(speedsSaveInterval)
		snapshot := of.model.Snapshot()
		if !of.row.outdatedBy(snapshot, now) {
			continue
		}
		value, err := encodeSpeeds(snapshot, m.wallMS(now))
		if err != nil {
			continue // cannot happen: the type has no value that JSON cannot hold
		}
		of.row.outstanding, of.row.sent = true, snapshot
		m.commands = append(m.commands, SaveSpeeds{Service: name, Value: value, Version: of.row.version})
	}
}

// outdatedBy reports whether the row is to be written: a speed has changed by more than its standard
// deviation, the targets have begun or ceased to differ or, after a while, more is known of them.
func (r *speedsRow) outdatedBy(s speed.Snapshot, now time.Time) bool {
	if (r.stored.Spread > 0) != (s.Spread > 0) {
		return true
	}
	refresh := !now.Before(r.refreshAt)
	for _, k := range s.Targets {
		old, known := r.byTarget[k.Target]
		if !known {
			old = speed.Known{Deviation: s.Spread}
		}
		if math.Abs(k.Log-old.Log) > max(old.Deviation, 1.0/milli) || refresh && k.Deviation < old.Deviation/2 {
			return true
		}
	}
	return false
}

// SpeedsSaved records that the outstanding save of a service took effect and gave the row a version.
func (m *Machine) SpeedsSaved(service string, version int64, now time.Time) {
	of := m.speeds.byService[service]
	if of == nil {
		return // its speeds are not learned any more
	}
	of.row.outstanding, of.row.version = false, version
	of.row.refreshAt = now.Add(speedsRefreshInterval)
	of.row.set(of.row.sent)
}

// SpeedsNotSaved records that the outstanding save of a service did not take effect, or may not have. The
// row has the version, as far as is known. The save is repeated after speedsSaveInterval.
func (m *Machine) SpeedsNotSaved(service string, version int64, now time.Time) {
	of := m.speeds.byService[service]
	if of == nil {
		return
	}
	of.row.outstanding, of.row.version = false, version
	of.row.nextSaveAt = now.Add(speedsSaveInterval)
}
