// Package body reads and writes the JSON bodies of the stand-ins.
package body

import (
	"encoding/json"
	"net/http"
)

// Read parses a request's body into a value. It answers a body that does not
// parse with 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Reply answers with a value. If the peer is gone, nobody is told.
func Reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
