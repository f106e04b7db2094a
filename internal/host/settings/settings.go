package settings

import (
	"fmt"
	"log/slog"
	"time"
)

// Settings is what a process is told when it starts. Settings never change
// once made. The zero Settings is not valid: make settings with New, Load or
// Parse.
type Settings struct {
	zone          string // never empty
	callerAddress string // IP:port, not the unspecified IP
	peerAddress   string // IP:port, not the unspecified IP
	logLevel      string // debug, info, warn or error
	platform      string // IP:port of the platform's store
	tls           TLS
	operatorKey   string // SHA-256 in hexadecimal, empty for none
	limits        Limits
	origins       map[string]string // section.key to where it was set; absent: default
}

// TLS names PEM files. The callers' files are both set or both empty, the
// peers' files are all set or all empty; empty means plain TCP.
type TLS struct {
	CallerCert, CallerKey     string
	PeerCert, PeerKey, PeerCA string
}

// Limits bound what one host takes on.
type Limits struct {
	MaxBody        int           // bytes of a request's body
	MaxHeader      int           // bytes of a request's headers
	MaxConnections int           // callers' connections at once
	RequestTimeout time.Duration // to read a request, and to write an answer
	MaxWait        time.Duration // longest ?wait= of a caller
	StopGrace      time.Duration // of a planned stop, for callers that wait
	UnreadyTime    time.Duration // of a planned stop, until the balancer sends nobody here
}

// Option sets one property of new settings.
type Option func(*Settings)

// New returns settings for a host of the zone. What no option sets has its
// default. It refuses a zone or an address that would be refused in a file.
func New(zone, callerAddress, peerAddress, platform string, opts ...Option) (Settings, error) {
	s := defaults()
	s.zone, s.callerAddress, s.peerAddress, s.platform = zone, callerAddress, peerAddress, platform
	for _, o := range opts {
		o(&s)
	}
	for _, check := range []error{
		checkZone(zone), checkOwn(callerAddress), checkOwn(peerAddress), checkReached(platform),
	} {
		if check != nil {
			return Settings{}, fmt.Errorf("settings: %w", check)
		}
	}
	return s, nil
}

// WithUnreadyTime sets how long a planned stop goes on taking requests.
func WithUnreadyTime(d time.Duration) Option {
	return func(s *Settings) { s.limits.UnreadyTime = d }
}

// WithOperatorKey sets the SHA-256, in hexadecimal, of the key that may apply
// the first configuration.
func WithOperatorKey(hash string) Option { return func(s *Settings) { s.operatorKey = hash } }

func defaults() Settings {
	return Settings{
		logLevel: "info",
		limits: Limits{
			MaxBody:        1 << 20,
			MaxHeader:      16 << 10,
			MaxConnections: 4096,
			RequestTimeout: 10 * time.Second,
			MaxWait:        60 * time.Second,
			StopGrace:      20 * time.Second,
			UnreadyTime:    2 * time.Second,
		},
		origins: map[string]string{},
	}
}

// Zone returns the host's availability zone.
func (s Settings) Zone() string { return s.zone }

// CallerAddress returns the IP:port that callers and operators reach.
func (s Settings) CallerAddress() string { return s.callerAddress }

// PeerAddress returns the IP:port that other hosts reach.
func (s Settings) PeerAddress() string { return s.peerAddress }

// Platform returns the IP:port of the platform's store.
func (s Settings) Platform() string { return s.platform }

// TLS returns the TLS files; empty names mean plain TCP.
func (s Settings) TLS() TLS { return s.tls }

// OperatorKeyHash returns the SHA-256 in hexadecimal of the key that may act as
// operator while no configuration is in force, empty for none.
func (s Settings) OperatorKeyHash() string { return s.operatorKey }

// MaxBody returns the largest body of a caller's request in bytes.
func (s Settings) MaxBody() int { return s.limits.MaxBody }

// MaxHeader returns the largest headers of a caller's request in bytes.
func (s Settings) MaxHeader() int { return s.limits.MaxHeader }

// MaxConnections returns how many callers' connections are open at once.
func (s Settings) MaxConnections() int { return s.limits.MaxConnections }

// RequestTimeout returns how long a request may take to be read, and an answer
// to be written, beside the time that a caller asks to wait.
func (s Settings) RequestTimeout() time.Duration { return s.limits.RequestTimeout }

// MaxWait returns the longest wait that a caller is given.
func (s Settings) MaxWait() time.Duration { return s.limits.MaxWait }

// UnreadyTime returns how long a planned stop goes on taking requests after the
// host has said that it is not ready, so that the balancer has time to see it.
func (s Settings) UnreadyTime() time.Duration { return s.limits.UnreadyTime }

// StopGrace returns how long a planned stop waits for callers' answers.
func (s Settings) StopGrace() time.Duration { return s.limits.StopGrace }

// LogLevel returns the least level that is logged.
func (s Settings) LogLevel() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.logLevel)); err != nil {
		return slog.LevelInfo
	}
	return l
}
