package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// State is where a job stands.
type State string

// The states of a job. Those from Succeeded on are final.
const (
	Queued    State = "queued"
	Starting  State = "starting"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	NotRun    State = "notRun"
	Lost      State = "lost"
)

// Final reports whether a job in the state stays in it.
func (s State) Final() bool {
	switch s {
	case Succeeded, Failed, Cancelled, NotRun, Lost:
		return true
	default:
		return false
	}
}

// Answer is what a job's first member gave back. Its length and digest travel
// beside the body, so that a truncated or crossed answer is noticed. The zero
// Answer is an empty one.
type Answer struct {
	length int
	digest string // SHA-256 in hexadecimal, empty for an empty answer
	body   []byte
}

// NewAnswer returns the answer with the body, its length and its digest.
func NewAnswer(body []byte) Answer {
	if len(body) == 0 {
		return Answer{}
	}
	return Answer{length: len(body), digest: digestOf(body), body: body}
}

// Body returns the answer's bytes. The caller must not change them.
func (a Answer) Body() []byte { return a.body }

// Length returns the length that the answer was made with.
func (a Answer) Length() int { return a.length }

// Digest returns the SHA-256 that the answer was made with, in hexadecimal.
func (a Answer) Digest() string { return a.digest }

// Whole reports whether the body has the length and the digest it was made with.
func (a Answer) Whole() bool {
	if a.length != len(a.body) {
		return false
	}
	return a.length == 0 || a.digest == digestOf(a.body)
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

type answerBody struct {
	Length int    `json:"length"`
	Digest string `json:"digest,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// MarshalJSON writes the answer with its length and digest.
func (a Answer) MarshalJSON() ([]byte, error) {
	return json.Marshal(answerBody{a.length, a.digest, a.body})
}

// UnmarshalJSON reads an answer. It does not refuse one that is not whole: the
// reader asks Whole and says where the answer came from.
func (a *Answer) UnmarshalJSON(b []byte) error {
	var w answerBody
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	*a = Answer{length: w.Length, digest: w.Digest, body: w.Body}
	return nil
}

// Outcome is what became of a job.
type Outcome struct {
	Job        ID        `json:"job"`
	Attempt    int       `json:"attempt"` // 0 if it never started
	State      State     `json:"state"`   // always final
	Reason     string    `json:"reason,omitempty"`
	RetryAfter time.Time `json:"retryAfter,omitzero"` // when asking again makes sense; zero for never
	At         time.Time `json:"at,omitzero"`
	Answer     Answer    `json:"answer,omitzero"`
}
