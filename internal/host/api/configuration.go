package api

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/config/version"
	"guavaglade.example/guavaglade/internal/fleet/shape"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/report/view"
)

// parsed keeps the text that is in force as it was parsed last.
type parsed struct {
	mu      sync.Mutex
	version version.Version
	text    *text.Config // nil: none is in force
}

// config returns the text in force, nil if there is none.
func (p *parsed) config(k *catalog.Keeper) *text.Config {
	p.current(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text
}

// current returns the version in force, the zero one if there is none. The keeper
// has checked the text before it took it.
func (p *parsed) current(k *catalog.Keeper) version.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.Version() == p.version.Number {
		return p.version
	}
	v, err := version.Decode(k.Stored())
	if err != nil {
		return p.version
	}
	if c, err := text.Parse([]byte(v.Text)); err == nil {
		p.version, p.text = v, c
	}
	return p.version
}

// ConfigurationView is a version of the configuration.
type ConfigurationView struct {
	Version int64  `json:"version"`
	Change  string `json:"change,omitempty"`
	Text    string `json:"text,omitempty"`
}

func (a *API) getConfiguration(w http.ResponseWriter, _ *http.Request, _ caller) {
	v := a.inForce.current(a.scheduler.Catalog())
	reply(w, http.StatusOK, ConfigurationView{Version: v.Number, Change: v.Change, Text: v.Text})
}

func (a *API) putConfiguration(w http.ResponseWriter, r *http.Request, _ caller) {
	var body struct {
		Base   int64  `json:"base"`
		Change string `json:"change"`
		Text   string `json:"text"`
	}
	if !a.read(w, r, &body) {
		return
	}
	now := time.Now()
	if body.Change == "" || body.Base < 0 {
		Problem{Status: http.StatusBadRequest, Detail: "give a change id and the base version, 0 for the first text"}.write(w, now)
		return
	}
	if faults := a.check(r, body.Text); len(faults) > 0 {
		Problem{Status: http.StatusUnprocessableEntity, Detail: "the text has faults; nothing was changed", Faults: faults}.write(w, now)
		return
	}
	v, err := version.Change(r.Context(), a.scheduler.Store(), body.Base, body.Change, body.Text)
	switch {
	case errors.Is(err, version.ErrChangeIDReused):
		Problem{Status: http.StatusUnprocessableEntity, Detail: err.Error()}.write(w, now)
	case errors.Is(err, version.ErrStaleBase):
		Problem{Status: http.StatusConflict, Detail: err.Error(), Current: v.Number}.write(w, now)
	case err != nil:
		changeFailed(w, err, now)
	default:
		reply(w, http.StatusOK, ConfigurationView{Version: v.Number, Change: v.Change})
	}
}

// check returns the faults of a text, among them guarantees that the targets
// registered now cannot hold together. Where the leader cannot be asked for them,
// the guarantees are not checked: an operator must be able to change the text while
// a zone is away.
func (a *API) check(r *http.Request, body string) []string {
	c, err := text.Parse([]byte(body))
	if err != nil {
		return strings.Split(err.Error(), "\n")
	}
	f, err := a.scheduler.Views().Fleet(r.Context())
	if err != nil {
		a.scheduler.Log().Info("guarantees not checked", "step", "targets", "error", err.Error())
		return nil
	}
	var faults []string
	for zone, targets := range workersOf(f) {
		if err := shape.NewZone(targets).Pack(c.Guarantees(zone)); err != nil {
			faults = append(faults, "zone "+zone+": "+err.Error())
		}
	}
	return faults
}

// workersOf returns the targets of each zone as guarantees see them.
func workersOf(f view.Fleet) map[string][]shape.Worker {
	zones := map[string][]shape.Worker{}
	for _, t := range f.Targets {
		zones[t.Zone] = append(zones[t.Zone], shape.Worker{
			Rack: t.Rack, Accelerators: t.Accelerators, Cores: t.Cores, Memory: t.MemoryMB, Slots: slots,
		})
	}
	return zones
}

// slots bounds the tasks of a guarantee on one target: what a target takes at
// once is bounded by its cores and memory alone.
const slots = 1 << 10

// changeFailed tells an operator whether a change that failed may have been
// accepted. If its answer was lost it is not known; putting it again with the
// same change id settles it.
func changeFailed(w http.ResponseWriter, err error, now time.Time) {
	const comeBack = 2 * time.Second // the store is seldom away for less
	p := Problem{Status: http.StatusServiceUnavailable, Type: "notAccepted", RetryAfter: now.Add(comeBack)}
	p.Detail = "not accepted: " + err.Error()
	if errors.Is(err, store.ErrOutcomeUnknown) {
		p.Status, p.Type = http.StatusGatewayTimeout, "notKnownYet"
		p.Detail = "not known yet, put it again with the same change id: " + err.Error()
	}
	p.write(w, now)
}
