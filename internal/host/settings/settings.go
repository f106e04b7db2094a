package settings

import (
	"fmt"
	"log/slog"
	"time"

	"guavaglade.example/guavaglade/internal/host/admission"
)

// Settings are the settings of a process. They are immutable. The zero Settings is
// invalid: use New, Load or Parse.
type Settings struct {
	zone            string // never empty
	callerAddress   string // IP:port, not the unspecified IP
	peerAddress     string // IP:port, not the unspecified IP
	logLevel        string // debug, info, warn or error
	platform        string // IP:port of the platform's store
	tls             TLS
	operatorKeyHash string // SHA-256 in hexadecimal, empty for none
	limits          Limits
	sources         map[string]string // section.key to where it was set; absent: default
}

// TLS names PEM files. The files for callers are both set or both empty, and so are the
// three files for peers; empty means plain TCP.
type TLS struct {
	CallerCert, CallerKey     string
	PeerCert, PeerKey, PeerCA string
}

// Limits bound the requests and connections of one host, and the time of a planned stop.
type Limits struct {
	MaxBodyBytes   int           // bytes of a request's body
	MaxHeaderBytes int           // bytes of a request's headers
	MaxConnections int           // open connections of callers, if MaxMemory allows as many
	MaxMemory      int           // megabytes that the process may use
	RequestTimeout time.Duration // to read a request, and to write a response
	MaxWait        time.Duration // longest ?wait= of a caller
	StopGrace      time.Duration // of a planned stop, to finish requests in progress
	UnreadyTime    time.Duration // of a planned stop, until the load balancer has noticed
}

// Option sets one property of new settings.
type Option func(*Settings)

// New returns settings for a host of the zone, with defaults for what no option sets. It
// refuses a zone or an address that Parse would refuse. It does not check the values of
// options.
func New(zone, callerAddress, peerAddress, platform string, opts ...Option) (Settings, error) {
	s := defaults()
	s.zone, s.callerAddress, s.peerAddress, s.platform = zone, callerAddress, peerAddress, platform
	for _, o := range opts {
		o(&s)
	}
	for _, check := range []error{
		checkZone(zone), checkListenAddress(callerAddress), checkListenAddress(peerAddress), checkDialAddress(platform),
	} {
		if check != nil {
			return Settings{}, fmt.Errorf("settings: %w", check)
		}
	}
	return s, nil
}

// WithUnreadyTime sets how long a planned stop keeps serving requests after the host
// reports that it is not ready.
func WithUnreadyTime(d time.Duration) Option {
	return func(s *Settings) { s.limits.UnreadyTime = d }
}

// WithOperatorKeyHash sets the SHA-256, in hexadecimal, of the key that may apply
// the first configuration.
func WithOperatorKeyHash(hash string) Option { return func(s *Settings) { s.operatorKeyHash = hash } }

// defaults returns settings without the zone and the addresses, which have no default.
func defaults() Settings {
	return Settings{
		logLevel: "info",
		limits: Limits{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			MaxConnections: 4096,
			MaxMemory:      admission.DefaultMemory >> 20,
			RequestTimeout: 10 * time.Second,
			MaxWait:        60 * time.Second,
			StopGrace:      20 * time.Second,
			UnreadyTime:    2 * time.Second,
		},
		sources: map[string]string{},
	}
}

// Zone returns the host's availability zone.
func (s Settings) Zone() string { return s.zone }

// CallerAddress returns the IP:port that callers and operators connect to.
func (s Settings) CallerAddress() string { return s.callerAddress }

// PeerAddress returns the IP:port that other hosts connect to.
func (s Settings) PeerAddress() string { return s.peerAddress }

// Platform returns the IP:port of the platform's store.
func (s Settings) Platform() string { return s.platform }

// TLS returns the TLS files; empty names mean plain TCP.
func (s Settings) TLS() TLS { return s.tls }

// OperatorKeyHash returns the SHA-256, in hexadecimal, of the key that is an operator's
// while no configuration is in force; empty for none.
func (s Settings) OperatorKeyHash() string { return s.operatorKeyHash }

// MaxBodyBytes returns the maximum size of a request's body in bytes.
func (s Settings) MaxBodyBytes() int { return s.limits.MaxBodyBytes }

// MaxHeaderBytes returns the maximum size of a request's headers in bytes.
func (s Settings) MaxHeaderBytes() int { return s.limits.MaxHeaderBytes }

// MaxConnections returns the maximum number of open connections of callers.
func (s Settings) MaxConnections() int { return s.limits.MaxConnections }

// MaxMemory returns the memory that the process may use in bytes. It bounds the connections and
// what is received on them.
func (s Settings) MaxMemory() int64 { return int64(s.limits.MaxMemory) << 20 }

// RequestTimeout returns how long reading a request and writing its response may take,
// not counting the wait that a caller asked for.
func (s Settings) RequestTimeout() time.Duration { return s.limits.RequestTimeout }

// MaxWait returns the longest time that a request with ?wait= waits for the end of a job.
func (s Settings) MaxWait() time.Duration { return s.limits.MaxWait }

// UnreadyTime returns how long a planned stop keeps serving requests after the host
// reports that it is not ready, so that the load balancer notices it.
func (s Settings) UnreadyTime() time.Duration { return s.limits.UnreadyTime }

// StopGrace returns how long a planned stop waits for requests in progress.
func (s Settings) StopGrace() time.Duration { return s.limits.StopGrace }

// LogLevel returns the lowest level that is logged, info for an unknown one.
func (s Settings) LogLevel() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(s.logLevel)); err != nil {
		return slog.LevelInfo
	}
	return l
}
