package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of tickets. All of them mean that nothing was spent.
var (
	// ErrForged says that the text is not a ticket or that its signature is
	// not this incarnation's.
	ErrForged = errors.New("not a valid ticket")
	// ErrExpired says that the ticket's deadline has passed.
	ErrExpired = errors.New("ticket expired")
	// ErrElsewhere says that another host, or an earlier incarnation of this
	// one, issued the ticket.
	ErrElsewhere = errors.New("ticket of another host or incarnation")
	// ErrSpent says that another request spent the ticket.
	ErrSpent = errors.New("ticket spent by another request")
	// ErrFull says that the book has no room for a spent ticket now.
	ErrFull = errors.New("too many spent tickets")
)

// Ticket is what a ticket says. Read from its text it is not yet proven: only
// the issuing host's Book can check the signature.
type Ticket struct {
	host        string
	incarnation int64
	serial      int64 // unique in the incarnation
	account     string
	deadline    time.Time
}

// Host returns the address of the host that issued the ticket.
func (t Ticket) Host() string { return t.host }

// Incarnation returns the incarnation of the host that issued the ticket.
func (t Ticket) Incarnation() int64 { return t.incarnation }

// Account returns the client account that may spend the ticket.
func (t Ticket) Account() string { return t.account }

// Deadline returns when the ticket can be spent no more.
func (t Ticket) Deadline() time.Time { return t.deadline }

type ticketBody struct {
	Host        string    `json:"host"`
	Incarnation int64     `json:"incarnation"`
	Serial      int64     `json:"serial"`
	Account     string    `json:"account"`
	Deadline    time.Time `json:"deadline"`
}

// Read returns what a ticket's text says, so that a host can pass the request
// on. It does not check the signature. Its error wraps ErrForged.
func Read(text string) (Ticket, error) {
	t, _, _, err := split(text)
	return t, err
}

func split(text string) (t Ticket, payload, signature []byte, err error) {
	head, tail, ok := strings.Cut(text, ".")
	if !ok {
		return Ticket{}, nil, nil, fmt.Errorf("read ticket: no signature: %w", ErrForged)
	}
	payload, err = base64.RawURLEncoding.DecodeString(head)
	if err != nil {
		return Ticket{}, nil, nil, fmt.Errorf("read ticket: %w: %w", ErrForged, err)
	}
	signature, err = base64.RawURLEncoding.DecodeString(tail)
	if err != nil {
		return Ticket{}, nil, nil, fmt.Errorf("read ticket: %w: %w", ErrForged, err)
	}
	var b ticketBody
	if err := json.Unmarshal(payload, &b); err != nil {
		return Ticket{}, nil, nil, fmt.Errorf("read ticket: %w: %w", ErrForged, err)
	}
	return Ticket{b.Host, b.Incarnation, b.Serial, b.Account, b.Deadline}, payload, signature, nil
}

func (t Ticket) sign(key []byte) (string, error) {
	payload, err := json.Marshal(ticketBody{t.host, t.incarnation, t.serial, t.account, t.deadline})
	if err != nil {
		return "", fmt.Errorf("sign ticket: %w", err)
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(payload) + "." + enc.EncodeToString(mac(key, payload)), nil
}

func mac(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)
}
