package session_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/sebdah/goldie/v2"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/standin/site"
	"guavaglade.example/guavaglade/internal/work/graph"
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
stoppable = true

[job refill.huge]
members = 64
accelerators = 8
adjacency = rack
startIn = 300ms

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
	links   []*rows.Link // each host's way to the store
	script  bytes.Buffer
	secrets *strings.Replacer // of words that differ in each run
}

func newSession(t *testing.T) *session {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &session{t: t}
	table := rows.New(time.Millisecond)
	shared := newTargets(ctx, table)
	b, err := site.Start(func(host int, _ logr.Logger) scheduler.Ports {
		link := rows.NewLink(table, rand.New(rand.NewPCG(uint64(host), 1)))
		s.links = append(s.links, link)
		line := pool.NewTransport(shared, 0, rand.New(rand.NewPCG(uint64(host), 2)))
		return scheduler.Ports{Store: link, Transport: line, Roster: shared}
	}, site.WithHosts(1), site.WithOperatorKey(credential.NewKey(operator).Hash()), site.WithSettings(settings.WithUnreadyTime(10*time.Millisecond)))
	if err != nil {
		t.Fatal(err)
	}
	s.site = b
	t.Cleanup(func() {
		s.trouble(rows.Faults{})
		if err := b.Stop(); err != nil {
			t.Error(err)
		}
	})
	s.learn()
	return s
}

// newTargets returns four targets in each zone, which find their jobs in the table.
func newTargets(ctx context.Context, table *rows.Table) *pool.Shared {
	p := pool.New(pool.DefaultBounds())
	p.SetLookup(site.StoredJobs(table))
	for _, zone := range site.Zones {
		for i := range 4 {
			id := fmt.Sprintf("%s-w%02d", zone, i)
			p.Add(roster.Target{
				ID: id, Address: id, Zone: zone, Service: "refill", Rack: "r-" + zone,
				Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
			}, 1, time.Now())
		}
	}
	return pool.Share(ctx, p)
}

// trouble sets what ails all hosts' ways to the store.
func (s *session) trouble(t rows.Faults) {
	for _, l := range s.links {
		l.SetFaults(t)
	}
}

// learn notes the words that differ in each run.
func (s *session) learn() {
	var words []string
	for i, h := range s.site.Hosts() {
		words = append(words, h.PeerAddress(), fmt.Sprintf("PEER%d", i), h.CallerAddress(), fmt.Sprintf("CALLER%d", i))
	}
	s.secrets = strings.NewReplacer(words...)
}

// What differs in each run, and what stands for it.
var replaced = []struct {
	what *regexp.Regexp
	by   string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`\b(accepted|ended|deadline)=\d+`), "${1}=MILLIS"},
	{regexp.MustCompile(`\b(waitedMS)=\d+`), "${1}=MILLIS"},
	{regexp.MustCompile(`\b[a-z]+-w\d\d\b`), "WORKER"}, // which of several free ones is not the session's matter
	{regexp.MustCompile(` +(\d+(\.\d+)?(ms|s) +){3}`), "  P50  P90  P99  "},
	{regexp.MustCompile(`("leads"): (true|false)`), "${1}: true for one host"},
	{regexp.MustCompile(`"(leader|host)": "PEER\d"`), `"${1}": "PEER"`}, // any may lead; ports decide the order
	{regexp.MustCompile(`("power"): [\d.]+`), "${1}: CORES"},
	{regexp.MustCompile(`("term"): \d+`), "${1}: TERM"},
	// A job that is not waited for may be placed before its answer is written.
	{regexp.MustCompile(`"state": "(queued|running)"`), "\"state\": \"queued\" or \"running\""},
}

// say writes into the script, with what differs in each run replaced.
func (s *session) say(text string) {
	text = s.secrets.Replace(text)
	for _, r := range replaced {
		text = r.what.ReplaceAllString(text, r.by)
	}
	s.script.WriteString(text)
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
	req, err := http.NewRequest(c.method, "http://"+s.site.Hosts()[c.host].CallerAddress()+c.path, strings.NewReader(c.body))
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

// settle waits until a version is in force everywhere and the leader holds all
// targets.
func (s *session) settle(version int64) {
	s.t.Helper()
	for i := range s.site.Hosts() {
		s.until(call{i, operator, "GET", "/v1/configuration", ""}, fmt.Sprintf(`"version":%d,`, version))
		s.awaitTargets(i)
	}
}

// awaitTargets waits until a host's leader holds all targets.
func (s *session) awaitTargets(host int) {
	s.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		_, _, body := s.send(call{host, operator, "GET", "/v1/fleet", ""})
		if bytes.Count(body, []byte(`"ready"`)) == 4*len(site.Zones) {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain for all targets: %s", body)
		}
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
