package api

import (
	"bytes"
	"net/http"

	"guavaglade.example/guavaglade/internal/host/server"
)

// GuaranteeView is one guaranteed shape of an account in a zone.
type GuaranteeView struct {
	Zone string `json:"zone"`
	server.GuaranteeView
}

func (a *API) fleet(w http.ResponseWriter, r *http.Request, _ caller) {
	views, err := a.node.Fleet(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, views)
}

func (a *API) guarantees(w http.ResponseWriter, r *http.Request, c caller) {
	views, err := a.node.Fleet(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	rows := []GuaranteeView{}
	for _, v := range views {
		for _, g := range v.Guarantees {
			if c.operator || g.Account == c.account.Name() {
				rows = append(rows, GuaranteeView{Zone: v.Zone, GuaranteeView: g})
			}
		}
	}
	reply(w, http.StatusOK, rows)
}

// burn answers with the burn report as text, SVG or, by default, JSON.
func (a *API) burn(w http.ResponseWriter, r *http.Request, _ caller) {
	report, err := a.node.Burn(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	var body bytes.Buffer
	kind, write := "application/json", report.WriteJSON
	switch r.URL.Query().Get("format") {
	case "text":
		kind, write = "text/plain; charset=utf-8", report.WriteText
	case "svg":
		kind, write = "image/svg+xml", report.WriteSVG
	}
	if err := write(&body); err != nil {
		unavailable(w, err)
		return
	}
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write(body.Bytes())
}
