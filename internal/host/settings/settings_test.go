package settings_test

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"guavaglade.example/guavaglade/internal/host/settings"
)

const fullSettings = `[host]
zone = bajio-1
callerAddress = 127.0.0.1:8080
peerAddress = 127.0.0.1:9080
[platform]
address = 127.0.0.1:7000
[operator]
keyHash = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
[limits]
maxWait = 90s
`

// Keys of the text replace the defaults; other keys have theirs.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("host.ini", []byte(fullSettings))
	is.NoErr(err)
	is.Equal(s.Zone(), "bajio-1")
	is.Equal(s.Platform(), "127.0.0.1:7000")
	is.Equal(s.MaxWait(), 90*time.Second)
	is.Equal(s.MaxBodyBytes(), 1<<20)
}

// Each case replaces a piece of valid settings. The error must name the line, section
// and key.
func TestParseErrors(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"host name", "127.0.0.1:7000", "platform:7000", `host.ini: line 6: [platform] address: "platform:7000" is not IP:port; host names are not allowed`},
		{"host name as own address", "127.0.0.1:9080", "localhost:9080", `line 4: [host] peerAddress: "localhost:9080" is not IP:port`},
		{"removed section", "[operator]", "[peers bajio-2]\naddresses = 127.0.0.1:9081\n[operator]", "line 7: [peers bajio-2] unknown section"},
		{"no port", "127.0.0.1:8080", "127.0.0.1", `line 3: [host] callerAddress: "127.0.0.1" is not IP:port`},
		{"unspecified IP", "127.0.0.1:8080", "0.0.0.0:8080", `line 3: [host] callerAddress: "0.0.0.0:8080": unspecified IP; callers and peers must be able to connect`},
		{"port 0", "127.0.0.1:7000", "127.0.0.1:0", `line 6: [platform] address: "127.0.0.1:0": port 0`},
		{"unknown key", "maxWait", "maxWaiting", "line 10: [limits] maxWaiting: unknown key; known here: maxBody"},
		{"unknown section", "[limits]", "[limit]", "line 9: [limit] unknown section"},
		{"missing key", "zone = bajio-1\n", "", "line 1: [host] zone: missing"},
		{"missing section", "[platform]\naddress = 127.0.0.1:7000\n", "", "host.ini: [platform] address: missing"},
		{"empty value", "zone = bajio-1", "zone =", "line 2: [host] zone: empty value"},
		{"bad duration", "90s", "90", `line 10: [limits] maxWait: "90" is not a duration`},
		{"out of range", "90s", "-1s", `line 10: [limits] maxWait: "-1s" is out of range, want 0s to 24h0m0s`},
		{"short hash", "9f86d08", "9f", "line 8: [operator] keyHash: not a SHA-256"},
		{"too little memory for a request", "[limits]", "[limits]\nmaxMemory = 100", "[limits] maxMemory: 100: requests of maxHeader and maxBody need at least 176"},
		{"incomplete TLS", "[limits]", "[tls]\ncallerCert = a.pem\n[limits]", "line 9: [tls] callerKey: missing; callerCert, callerKey are set together"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(fullSettings, c.old)) // the replacement has an effect
			_, err := settings.Parse("host.ini", []byte(strings.Replace(fullSettings, c.old, c.new, 1)))
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got\n%v\nwant\n%s", err, c.want)
			}
		})
	}
}

// Faults of all kinds in one file are reported together, sorted by line.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("host.ini", []byte("[host]\nzone = a b\ncallerAddress = x\nspare = 1\n[other]\n"))
	var e *settings.Error
	is.True(errors.As(err, &e))
	lines := []int{}
	for _, f := range e.Faults() {
		lines = append(lines, f.Line)
	}
	is.Equal(lines, []int{0, 1, 2, 3, 4, 5}) // platform, peerAddress, zone, callerAddress, spare, [other]
}

// The printed settings are compared with a golden file, and parse to the same settings.
func TestPrintedSettingsParse(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "host.ini")
	is.NoErr(os.WriteFile(file, []byte(fullSettings), 0o600))
	s, err := settings.Load(file)
	is.NoErr(err)
	var first bytes.Buffer
	is.NoErr(s.Print(&first))
	again, err := settings.Parse("printed", first.Bytes())
	is.NoErr(err)
	is.Equal(again.MaxWait(), s.MaxWait())
	is.Equal(again.Zone(), s.Zone())
	goldie.New(t).Assert(t, "print", bytes.ReplaceAll(first.Bytes(), []byte(file), []byte("host.ini")))
}

// Each key that is printed must be found in docs/CONFIGURATION.md.
func TestEachKeyIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	is.NoErr(err)
	var printed bytes.Buffer
	is.NoErr(settings.Settings{}.Print(&printed))
	for _, line := range strings.Split(strings.TrimSpace(printed.String()), "\n") {
		key := strings.Fields(strings.TrimPrefix(line, "; "))[0]
		if !strings.HasPrefix(key, "[") && !strings.Contains(string(page), "`"+key+"`") {
			t.Errorf("setting %s is not documented", key)
		}
	}
}

// New refuses addresses that Parse refuses, and applies options.
func TestNewRefusesHostNames(t *testing.T) {
	is := is.New(t)
	_, err := settings.New("z", "127.0.0.1:0", "127.0.0.1:0", "localhost:1")
	is.True(err != nil)
	_, err = settings.New("z", "127.0.0.1:0", "localhost:0", "127.0.0.1:1")
	is.True(err != nil)
	s, err := settings.New("z", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", settings.WithUnreadyTime(time.Second))
	is.NoErr(err)
	is.Equal(s.UnreadyTime(), time.Second)
}

// An operator changes keys of each kind and sends SIGHUP. Those that a running host can
// apply must be in force, and the others must be listed, so that nobody takes them to be
// in force.
func TestReloadReportsWhatNeedsRestart(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("host.ini", []byte(fullSettings))
	is.NoErr(err)
	next, err := settings.Parse("host.ini", []byte(strings.NewReplacer(
		"bajio-1", "bajio-2", "90s", "91s\nmaxBody = 7", "[platform]", "logLevel = debug\n[platform]",
	).Replace(fullSettings)))
	is.NoErr(err)
	now, done := s.Reload(next)
	is.Equal(done, settings.ReloadResult{Changed: []string{"host.logLevel", "limits.maxBody"}, NeedRestart: []string{"host.zone", "limits.maxWait"}})
	is.Equal(now.LogLevel(), slog.LevelDebug)
	is.Equal(now.MaxBodyBytes(), 7)
	is.Equal(now.Zone(), "bajio-1")
	is.Equal(now.MaxWait(), 90*time.Second)
	is.Equal(s.MaxBodyBytes(), 1<<20) // the earlier settings are unchanged
	_, done = now.Reload(now)
	is.Equal(done, settings.ReloadResult{})
}

// A text is settings if it has a section [host], also an empty one.
func TestIsSettings(t *testing.T) {
	is := is.New(t)
	is.True(settings.IsSettings([]byte(fullSettings)))
	is.True(settings.IsSettings([]byte("[host]\n")))
	is.True(!settings.IsSettings([]byte("[service refill]\n")))
	is.True(!settings.IsSettings(nil))
}
