package session_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/standin/platform"
	"guavaglade.example/guavaglade/internal/standin/site"
)

const patience = 30 * time.Second // a bound on every wait, not a verdict

// Keys of the sessions' configuration.
const (
	operator = "automation"
	norte    = "norte"
	sur      = "sur"
)

var configuration = fmt.Sprintf(`[service refill]
objectiveTarget = 0.99
objectiveWithin = 10s

[job refill.label]
accelerators = 1

[job refill.bill]
accelerators = 1
repeatable = false

[job refill.forecast]
accelerators = 8
long = true
stoppable = true

[job refill.huge]
members = 64
accelerators = 8
adjacency = rack

[account norte]
keyHash = %s

[account sur]
keyHash = %s

[guarantee sur.room]
zones = leon
accelerators = 8
adjacency = worker

[account automation]
operator = true
keyHash = %s
`, credential.NewKey(norte).Hash(), credential.NewKey(sur).Hash(), credential.NewKey(operator).Hash())

// session is one play against a site of one host in each of three zones, and
// the text of what was said.
type session struct {
	t       *testing.T
	site    *site.Site
	script  bytes.Buffer
	words   []string          // that differ in each run, each with what stands for it
	secrets *strings.Replacer // of the words
}

func newSession(t *testing.T) *session {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	b, err := site.Start(ctx, site.WithHosts(1), site.WithOperatorKey(credential.NewKey(operator).Hash()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.Platform().SetFaults(platform.Faults{})
		if err := b.Stop(); err != nil {
			t.Error(err)
		}
	})
	s := &session{t: t, site: b}
	s.learn()
	return s
}

// learn notes the words that differ in each run.
func (s *session) learn() {
	s.words = []string{s.site.PlatformAddress(), "PLATFORM"}
	for i, h := range s.site.Hosts() {
		s.words = append(s.words, h.Process().Node().ID(), fmt.Sprintf("HOST%d", i), h.Peer(), fmt.Sprintf("PEER%d", i), h.Caller(), fmt.Sprintf("CALLER%d", i))
	}
	s.secrets = strings.NewReplacer(s.words...)
}

// hide has a word stand for another one from now on.
func (s *session) hide(word, by string) {
	s.words = append(s.words, word, by)
	s.secrets = strings.NewReplacer(s.words...)
}

var (
	when     = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`)
	duration = regexp.MustCompile(`(waiting )(\d+(\.\d+)?(µs|ms|s))+`)
	worker   = regexp.MustCompile(`\bon [a-z]+-w\d\d`) // which of several free ones is not the session's matter
	digest   = regexp.MustCompile(`\b[0-9a-f]{64}\b`)
	latency  = regexp.MustCompile(` +(\d+(\.\d+)?(ms|s) +){3}`)
	number   = regexp.MustCompile(`\b[1-9]\d{12,}\b`) // an incarnation or another number of a run
	// A job that is not waited for may be placed before its answer is written.
	early = regexp.MustCompile(`"state": "(queued|starting)",\n<   "durable"`)
	// The worker's report of a hold may come before the answer to it; the story
	// then has no line of its own for it.
	held    = regexp.MustCompile(`<     \{\n(<       [^\n]*\n){2}<       "step": "held"[^}]*\},\n`)
	attempt = regexp.MustCompile(`(attempt )\d{4,}`)
)

// say writes into the script, with what differs in each run replaced.
func (s *session) say(text string) {
	text = s.secrets.Replace(text)
	text = when.ReplaceAllString(text, "TIME")
	text = duration.ReplaceAllString(text, "${1}DURATION")
	text = early.ReplaceAllString(text, "\"state\": \"queued\" or \"starting\",\n<   \"durable\"")
	text = held.ReplaceAllString(text, "")
	text = worker.ReplaceAllString(text, "on WORKER")
	text = digest.ReplaceAllString(text, "DIGEST")
	text = latency.ReplaceAllString(text, "  P50  P90  P99  ")
	text = attempt.ReplaceAllString(text, "${1}NUMBER")
	s.script.WriteString(number.ReplaceAllString(text, "NUMBER"))
}

// note writes a heading: what the user wants, and what is to be expected.
func (s *session) note(text string) { fmt.Fprintf(&s.script, "## %s\n\n", text) }

// call is one request of a session.
type call struct {
	host         int
	key          string // empty for none
	method, path string
	body         string
}

// do makes a request, writes it and its answer into the script, and returns the
// answer's body.
func (s *session) do(c call) []byte {
	s.t.Helper()
	status, header, body := s.send(c)
	s.show(c, status, header, body)
	return body
}

// show writes a request and its answer into the script.
func (s *session) show(c call, status int, header http.Header, body []byte) {
	c.body = s.secrets.Replace(c.body)
	s.say(fmt.Sprintf("> %s %s as %s at CALLER%d\n", c.method, c.path, orNobody(c.key), c.host))
	if c.body != "" {
		s.say(indent("> ", shorten(c.body)))
	}
	s.say(fmt.Sprintf("< %d %s\n", status, header.Get("Content-Type")))
	if at := header.Get("Retry-After"); at != "" {
		s.say("< Retry-After: SECONDS\n")
	}
	s.say(indent("< ", pretty(body)) + "\n")
}

func (s *session) send(c call) (int, http.Header, []byte) {
	s.t.Helper()
	req, err := http.NewRequest(c.method, "http://"+s.site.Hosts()[c.host].Caller()+c.path, strings.NewReader(c.body))
	if err != nil {
		s.t.Fatal(err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return res.StatusCode, res.Header, body
}

// until asks, outside of the script, until the answer's body holds the words.
func (s *session) until(c call, words ...string) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		_, _, body := s.send(c)
		all := true
		for _, w := range words {
			all = all && bytes.Contains(body, []byte(w))
		}
		if all {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain for %q of %s: %s", words, c.path, body)
		}
	}
}

// ready puts the configuration in force on all hosts, outside of the script.
func (s *session) ready() {
	s.t.Helper()
	s.send(call{0, operator, "PUT", "/v1/configuration", change(0, "first", configuration)})
	s.settle(1)
}

// settle waits until a version is in force everywhere and each placer knows its
// zone's workers.
func (s *session) settle(version int64) {
	s.t.Helper()
	for i := range s.site.Hosts() {
		s.until(call{i, operator, "GET", "/v1/configuration", ""}, fmt.Sprintf(`"version":%d,`, version))
		s.until(call{i, operator, "GET", "/v1/fleet", ""}, "leon-w03", "celaya-w03", "irapuato-w03")
	}
}

// end holds the script against its golden file.
func (s *session) end(name string) {
	s.t.Helper()
	goldie.New(s.t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt"), goldie.WithDiffEngine(goldie.ClassicDiff)).
		Assert(s.t, name, s.script.Bytes())
}

func change(base int64, id, text string) string {
	b, err := json.Marshal(struct {
		Base   int64  `json:"base"`
		Change string `json:"change"`
		Text   string `json:"text"`
	}{base, id, text})
	if err != nil {
		panic(err) // strings always marshal
	}
	return string(b)
}

func orNobody(key string) string {
	if key == "" {
		return "nobody"
	}
	return key
}

// shorten keeps long bodies out of the script.
func shorten(body string) string {
	const most = 200
	if len(body) <= most {
		return body
	}
	return fmt.Sprintf("%s... (%d bytes)", body[:most], len(body))
}

func pretty(body []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, bytes.TrimSpace(body), "", "  ") == nil {
		return b.String()
	}
	return string(body)
}

func indent(with, text string) string {
	return with + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n"+with) + "\n"
}
