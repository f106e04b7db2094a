package settings

import (
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/config/document"
)

// field describes one key of the settings: how it is read, checked and printed.
type field struct {
	section, key string
	unit         string // and what an unset key means
	required     bool
	secret       bool // the value is not printed
	read         func(d *document.Section, key string, s *Settings)
	format       func(s *Settings) string // empty: not set
	reload       func(s, from *Settings)  // applies a new value to a running host; nil: needs a restart
}

func (f field) name() string { return f.section + "." + f.key }

// fields are all keys, in the order in which they are printed.
var fields = []field{
	textField("host", "zone", "name of the availability zone", true, checkZone, func(s *Settings) *string { return &s.zone }),
	textField("host", "callerAddress", "IP:port that callers and operators reach", true, checkListenAddress, func(s *Settings) *string { return &s.callerAddress }),
	textField("host", "peerAddress", "IP:port that other hosts reach", true, checkListenAddress, func(s *Settings) *string { return &s.peerAddress }),
	{
		section: "host", key: "logLevel", unit: "debug, info, warn or error",
		read: func(d *document.Section, key string, s *Settings) {
			s.logLevel = d.Choice(key, s.logLevel, "debug", "info", "warn", "error")
		},
		format: func(s *Settings) string { return s.logLevel },
		reload: func(s, from *Settings) { s.logLevel = from.logLevel },
	},
	textField("platform", "address", "IP:port of the platform's store", true, checkDialAddress, func(s *Settings) *string { return &s.platform }),
	fileField("callerCert", "PEM file; not set: callers connect without TLS", func(s *Settings) *string { return &s.tls.CallerCert }),
	fileField("callerKey", "PEM file", func(s *Settings) *string { return &s.tls.CallerKey }),
	fileField("peerCert", "PEM file; not set: hosts connect without TLS", func(s *Settings) *string { return &s.tls.PeerCert }),
	fileField("peerKey", "PEM file", func(s *Settings) *string { return &s.tls.PeerKey }),
	fileField("peerCA", "PEM file of the authorities of other hosts", func(s *Settings) *string { return &s.tls.PeerCA }),
	operatorField(),
	reloadable(intField("maxBody", "bytes of a request's body", 1, 1<<30, func(s *Settings) *int { return &s.limits.MaxBodyBytes }),
		func(s, from *Settings) { s.limits.MaxBodyBytes = from.limits.MaxBodyBytes }),
	intField("maxHeader", "bytes of a request's headers", 1<<10, 1<<20, func(s *Settings) *int { return &s.limits.MaxHeaderBytes }),
	intField("maxConnections", "callers' connections at once", 1, 1<<20, func(s *Settings) *int { return &s.limits.MaxConnections }),
	intField("maxMemory", "megabytes that the process may use, which bound the connections and what is received", 64, 1<<20, func(s *Settings) *int { return &s.limits.MaxMemory }),
	durationField("requestTimeout", "duration to read a request, and to write an answer", 100*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.limits.RequestTimeout }),
	durationField("maxWait", "duration, longest ?wait= of a caller", 0, 24*time.Hour, func(s *Settings) *time.Duration { return &s.limits.MaxWait }),
	durationField("unreadyTime", "duration that a planned stop goes on taking requests while the balancer sees that the host is not ready", 0, time.Hour, func(s *Settings) *time.Duration { return &s.limits.UnreadyTime }),
	durationField("stopGrace", "duration that a planned stop waits for callers' answers", 0, time.Hour, func(s *Settings) *time.Duration { return &s.limits.StopGrace }),
}

// textField returns the field of a text that check does not refuse. value returns where
// the settings hold it. An empty or refused value is a fault and leaves the default.
func textField(section, key, unit string, required bool, check func(string) error, value func(*Settings) *string) field {
	read := func(d *document.Section, key string, s *Settings) {
		v := d.Text(key, "")
		if v == "" {
			return
		}
		if err := check(v); err != nil {
			d.Fault(key, err.Error())
			return
		}
		*value(s) = v
	}
	return field{section: section, key: key, unit: unit, required: required, read: read, format: func(s *Settings) string { return *value(s) }}
}

// reloadable returns the field with a function that applies a new value to a running host.
func reloadable(f field, reload func(s, from *Settings)) field {
	f.reload = reload
	return f
}

// fileField returns the field of a file name in the section tls. The file is not read.
func fileField(key, unit string, value func(*Settings) *string) field {
	return textField("tls", key, unit, false, func(string) error { return nil }, value)
}

// operatorField returns the field of the operator's key hash, which is not printed and
// can change on a running host.
func operatorField() field {
	value := func(s *Settings) *string { return &s.operatorKeyHash }
	f := textField("operator", "keyHash", "SHA-256 in hexadecimal of the key that may apply the first configuration", false, checkHash, value)
	f.secret = true
	return reloadable(f, func(s, from *Settings) { s.operatorKeyHash = from.operatorKeyHash })
}

// intField returns the field of a limit from minValue to maxValue. value returns where the
// settings hold it.
func intField(key, unit string, minValue, maxValue int, value func(*Settings) *int) field {
	read := func(d *document.Section, key string, s *Settings) {
		*value(s) = d.Int(key, *value(s), minValue, maxValue)
	}
	return field{section: "limits", key: key, unit: unit, read: read, format: func(s *Settings) string { return strconv.Itoa(*value(s)) }}
}

// durationField returns the field of a limit, like intField.
func durationField(key, unit string, minValue, maxValue time.Duration, value func(*Settings) *time.Duration) field {
	read := func(d *document.Section, key string, s *Settings) {
		*value(s) = d.Duration(key, *value(s), minValue, maxValue)
	}
	return field{section: "limits", key: key, unit: unit, read: read, format: func(s *Settings) string { return value(s).String() }}
}
