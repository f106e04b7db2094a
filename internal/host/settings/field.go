package settings

import (
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/config/document"
)

// field is one key of the settings: how it is read, checked and shown.
type field struct {
	section, key string
	unit         string // and what an unset key means
	required     bool
	secret       bool // shown as set or not set only
	read         func(d *document.Section, key string, s *Settings)
	show         func(s *Settings) string // empty: not set
	take         func(s, from *Settings)  // takes the key over while the host runs; nil: only a new process does
}

func (f field) name() string { return f.section + "." + f.key }

// fields are all keys, in the order they are shown.
var fields = []field{
	textField("host", "zone", "name of the availability zone", true, checkZone, func(s *Settings) *string { return &s.zone }),
	textField("host", "callerAddress", "IP:port that callers and operators reach", true, checkOwn, func(s *Settings) *string { return &s.callerAddress }),
	textField("host", "peerAddress", "IP:port that other hosts reach", true, checkOwn, func(s *Settings) *string { return &s.peerAddress }),
	{
		section: "host", key: "logLevel", unit: "debug, info, warn or error",
		read: func(d *document.Section, key string, s *Settings) {
			s.logLevel = d.Choice(key, s.logLevel, "debug", "info", "warn", "error")
		},
		show: func(s *Settings) string { return s.logLevel },
		take: func(s, from *Settings) { s.logLevel = from.logLevel },
	},
	textField("platform", "address", "IP:port of the platform's store", true, checkReached, func(s *Settings) *string { return &s.platform }),
	fileField("callerCert", "PEM file; not set: callers connect without TLS", func(s *Settings) *string { return &s.tls.CallerCert }),
	fileField("callerKey", "PEM file", func(s *Settings) *string { return &s.tls.CallerKey }),
	fileField("peerCert", "PEM file; not set: hosts connect without TLS", func(s *Settings) *string { return &s.tls.PeerCert }),
	fileField("peerKey", "PEM file", func(s *Settings) *string { return &s.tls.PeerKey }),
	fileField("peerCA", "PEM file of the authorities of other hosts", func(s *Settings) *string { return &s.tls.PeerCA }),
	operatorField(),
	taken(sizeField("maxBody", "bytes of a request's body", 1, 1<<30, func(s *Settings) *int { return &s.limits.MaxBody }),
		func(s, from *Settings) { s.limits.MaxBody = from.limits.MaxBody }),
	sizeField("maxHeader", "bytes of a request's headers", 1<<10, 1<<20, func(s *Settings) *int { return &s.limits.MaxHeader }),
	sizeField("maxConnections", "callers' connections at once", 1, 1<<20, func(s *Settings) *int { return &s.limits.MaxConnections }),
	timeField("requestTimeout", "duration to read a request, and to write an answer", 100*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.limits.RequestTimeout }),
	timeField("maxWait", "duration, longest ?wait= of a caller", 0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.limits.MaxWait }),
	timeField("unreadyTime", "duration that a planned stop goes on taking requests while the balancer sees that the host is not ready", 0, time.Hour, func(s *Settings) *time.Duration { return &s.limits.UnreadyTime }),
	timeField("stopGrace", "duration that a planned stop waits for callers' answers", 0, time.Hour, func(s *Settings) *time.Duration { return &s.limits.StopGrace }),
}

func textField(section, key, unit string, required bool, check func(string) error, at func(*Settings) *string) field {
	read := func(d *document.Section, key string, s *Settings) {
		v := d.Text(key, "")
		if v == "" {
			return
		}
		if err := check(v); err != nil {
			d.Fault(key, err.Error())
			return
		}
		*at(s) = v
	}
	return field{section: section, key: key, unit: unit, required: required, read: read, show: func(s *Settings) string { return *at(s) }}
}

// taken returns the field as one that is taken over while the host runs.
func taken(f field, take func(s, from *Settings)) field {
	f.take = take
	return f
}

func fileField(key, unit string, at func(*Settings) *string) field {
	return textField("tls", key, unit, false, func(string) error { return nil }, at)
}

func operatorField() field {
	at := func(s *Settings) *string { return &s.operatorKey }
	f := textField("operator", "keyHash", "SHA-256 in hexadecimal of the key that may apply the first configuration", false, checkHash, at)
	f.secret = true
	return taken(f, func(s, from *Settings) { s.operatorKey = from.operatorKey })
}

func sizeField(key, unit string, least, most int, at func(*Settings) *int) field {
	read := func(d *document.Section, key string, s *Settings) {
		*at(s) = d.Int(key, *at(s), least, most)
	}
	return field{section: "limits", key: key, unit: unit, read: read, show: func(s *Settings) string { return strconv.Itoa(*at(s)) }}
}

func timeField(key, unit string, least, most time.Duration, at func(*Settings) *time.Duration) field {
	read := func(d *document.Section, key string, s *Settings) {
		*at(s) = d.Duration(key, *at(s), least, most)
	}
	return field{section: "limits", key: key, unit: unit, read: read, show: func(s *Settings) string { return at(s).String() }}
}
