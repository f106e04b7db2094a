package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Problem is an error as a caller sees it (RFC 9457).
type Problem struct {
	Type       string    `json:"type"`  // about:blank, or a short name of the matter
	Title      string    `json:"title"` // the same for each problem of the type
	Status     int       `json:"status"`
	Detail     string    `json:"detail,omitempty"`
	State      string    `json:"state,omitempty"` // notRun if a job was refused for good
	RetryAfter time.Time `json:"retryAfter,omitzero"`
	Current    int64     `json:"current,omitempty"` // version that is current, on a race
	Faults     []string  `json:"faults,omitempty"`  // of a configuration text
}

// write sends the problem. A refusal that may be tried again says when, in
// whole seconds, also as a header.
func (p Problem) write(w http.ResponseWriter, now time.Time) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	if !p.RetryAfter.IsZero() {
		seconds := max(1, int64(p.RetryAfter.Sub(now)/time.Second))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
