package api

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/table"
)

// ConfigurationView is a version of the configuration.
type ConfigurationView struct {
	Version int64     `json:"version"`
	Since   time.Time `json:"since,omitzero"` // in force on this host
	Change  string    `json:"change,omitempty"`
	Text    string    `json:"text,omitempty"`
}

func (a *API) getConfiguration(w http.ResponseWriter, r *http.Request, _ caller) {
	c, since, err := a.node.InForceText(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, ConfigurationView{Version: c.Version, Since: since, Change: c.Change, Text: string(c.Body)})
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
	config, err := text.Parse([]byte(body.Text))
	if err == nil {
		err = a.node.CheckPacking(r.Context(), config)
	}
	if err != nil {
		Problem{
			Status: http.StatusUnprocessableEntity, Detail: "the text has faults; nothing was changed",
			Faults: strings.Split(err.Error(), "\n"),
		}.write(w, now)
		return
	}
	c, err := a.node.Change(r.Context(), body.Base, body.Change, []byte(body.Text))
	switch {
	case errors.Is(err, ledger.ErrOtherChange):
		Problem{Status: http.StatusUnprocessableEntity, Detail: err.Error()}.write(w, now)
	case errors.Is(err, ledger.ErrBase):
		Problem{Status: http.StatusConflict, Detail: err.Error(), Current: c.Version}.write(w, now)
	case err != nil:
		changeFailed(w, err, now)
	default:
		reply(w, http.StatusOK, ConfigurationView{Version: c.Version, Change: c.Change})
	}
}

func (a *API) inForce(w http.ResponseWriter, r *http.Request, _ caller) {
	rows, err := a.node.InForce(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, rows)
}

// changeFailed tells an operator whether a change that failed may have been
// accepted. If its answer was lost it is not known; putting it again with the
// same change id settles it.
func changeFailed(w http.ResponseWriter, err error, now time.Time) {
	p := Problem{Status: http.StatusServiceUnavailable, Type: "notAccepted", RetryAfter: now.Add(2 * time.Second)}
	p.Detail = "not accepted: " + err.Error()
	if errors.Is(err, table.ErrUnknown) {
		p.Status, p.Type = http.StatusGatewayTimeout, "notKnownYet"
		p.Detail = "not known yet, put it again with the same change id: " + err.Error()
	}
	p.write(w, now)
}
