package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type       string      `json:"type"`  // about:blank, cancelled, notAccepted or notKnownYet
	Title      string      `json:"title"` // the text of the status
	Status     int         `json:"status"`
	Detail     string      `json:"detail,omitempty"`
	State      string      `json:"state,omitempty"` // notRun if a request was refused and has not run
	ID         graph.JobID `json:"id,omitempty"`    // of a job whose outcome is not known or that was cancelled
	RetryAfter time.Time   `json:"retryAfter,omitzero"`
	Current    int64       `json:"current,omitempty"` // current version, on a conflict
	Faults     []string    `json:"faults,omitempty"`  // of a configuration text
}

// write sends the problem. Type and Title have defaults. If it has RetryAfter, the
// header Retry-After gives the delay from now in whole seconds, at least one.
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
