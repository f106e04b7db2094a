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

// configCache holds the configuration in force, parsed, so that it is not parsed for
// each request. It is safe for concurrent use.
type configCache struct {
	mu      sync.Mutex
	version version.Version
	text    *text.Config // nil: no configuration is in force
}

// config returns the configuration in force, or nil if there is none.
func (p *configCache) config(k *catalog.Keeper) *text.Config {
	p.currentVersion(k)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text
}

// currentVersion returns the version in force, or the zero version if there is none. It
// parses the text of a new version and keeps the earlier version if that fails, which is
// not expected: the keeper has validated the text before it accepted it.
func (p *configCache) currentVersion(k *catalog.Keeper) version.Version {
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

// getConfiguration answers with the version in force on this host and its text.
func (a *API) getConfiguration(w http.ResponseWriter, _ *http.Request, _ caller) {
	v := a.configCache.currentVersion(a.scheduler.Catalog())
	writeJSON(w, http.StatusOK, ConfigurationView{Version: v.Number, Change: v.Change, Text: v.Text})
}

// putConfiguration stores a text without faults as the next version, which the hosts put
// in force afterwards. It answers with status 409 and the current version if the change
// is based on another one, and with 422 for a text with faults or a change id that was
// used with another text.
func (a *API) putConfiguration(w http.ResponseWriter, r *http.Request, _ caller) {
	var body struct {
		Base   int64  `json:"base"`
		Change string `json:"change"`
		Text   string `json:"text"`
	}
	if !a.decodeBody(w, r, &body) {
		return
	}
	now := time.Now()
	if body.Change == "" || body.Base < 0 {
		Problem{Status: http.StatusBadRequest, Detail: "give a change id and the base version, 0 for the first text"}.write(w, now)
		return
	}
	if faults := a.checkText(r, body.Text); len(faults) > 0 {
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
		writeChangeError(w, err, now)
	default:
		writeJSON(w, http.StatusOK, ConfigurationView{Version: v.Number, Change: v.Change})
	}
}

// checkText returns the faults of a text, including guarantees that the registered
// targets cannot satisfy together. If the leader cannot be asked for the targets, the
// guarantees are not checked: an operator must be able to change the text while a zone
// is unavailable.
func (a *API) checkText(r *http.Request, body string) []string {
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
	for zone, targets := range workersByZone(f) {
		if err := shape.NewZone(targets).Pack(c.Guarantees(zone)); err != nil {
			faults = append(faults, "zone "+zone+": "+err.Error())
		}
	}
	return faults
}

// workersByZone returns the targets of each zone as workers for checking guarantees.
func workersByZone(f view.Fleet) map[string][]shape.Worker {
	zones := map[string][]shape.Worker{}
	for _, t := range f.Targets {
		zones[t.Zone] = append(zones[t.Zone], shape.Worker{
			Rack: t.Rack, Accelerators: t.Accelerators, Cores: t.Cores, Memory: t.MemoryMB, Slots: unlimitedSlots,
		})
	}
	return zones
}

// unlimitedSlots is more than any target can use: its cores and memory alone limit the
// tasks of a guarantee on it.
const unlimitedSlots = 1 << 10

// writeChangeError writes the error of a change, which says whether the change may have
// been accepted. If the store's answer was lost, that is not known until the change is
// repeated with the same change id.
func writeChangeError(w http.ResponseWriter, err error, now time.Time) {
	const retryDelay = 2 * time.Second // outages of the store are rarely shorter
	p := Problem{Status: http.StatusServiceUnavailable, Type: "notAccepted", RetryAfter: now.Add(retryDelay)}
	p.Detail = "not accepted: " + err.Error()
	if errors.Is(err, store.ErrOutcomeUnknown) {
		p.Status, p.Type = http.StatusGatewayTimeout, "notKnownYet"
		p.Detail = "not known yet; repeat the change with the same change id: " + err.Error()
	}
	p.write(w, now)
}
