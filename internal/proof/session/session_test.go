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

const waitTimeout = 30 * time.Second // bounds each wait; no latency is tested

// Keys of the sessions' configuration.
const (
	operator = "automation"
	norte    = "norte"
	sur      = "sur"
)

// configuration is the text that sessions put in force; it has the hashes of the keys above.
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

// session runs requests against a site with one host in each of three zones and records
// them and their answers.
type session struct {
	t            *testing.T
	site         *site.Site
	links        []*rows.Link      // of each host to the store
	script       bytes.Buffer      // the record, which is compared with the golden file
	placeholders *strings.Replacer // for addresses, which differ between runs
}

// newSession starts a site with an empty store, targets and no configuration, which is stopped
// at the end of the test.
func newSession(t *testing.T) *session {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &session{t: t}
	table := rows.New(time.Millisecond)
	shared := newTargets(ctx, table)
	st, err := site.Start(func(host int, _ logr.Logger) scheduler.Ports {
		link := rows.NewLink(table, rand.New(rand.NewPCG(uint64(host), 1)))
		s.links = append(s.links, link)
		transport := pool.NewTransport(shared, 0, rand.New(rand.NewPCG(uint64(host), 2)))
		return scheduler.Ports{Store: link, Transport: transport, Roster: shared}
	}, site.WithHosts(1), site.WithOperatorKey(credential.NewKey(operator).Hash()), site.WithSettings(settings.WithUnreadyTime(10*time.Millisecond)))
	if err != nil {
		t.Fatal(err)
	}
	s.site = st
	t.Cleanup(func() {
		s.setStoreFaults(rows.Faults{})
		if err := st.Stop(); err != nil {
			t.Error(err)
		}
	})
	s.setPlaceholders()
	return s
}

// newTargets returns four targets in each zone, which read their jobs from the table.
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

// setStoreFaults sets the faults of all hosts' links to the store.
func (s *session) setStoreFaults(f rows.Faults) {
	for _, l := range s.links {
		l.SetFaults(f)
	}
}

// setPlaceholders sets the placeholders PEERn and CALLERn for the addresses of the hosts.
func (s *session) setPlaceholders() {
	var pairs []string
	for i, h := range s.site.Hosts() {
		pairs = append(pairs, h.PeerAddress(), fmt.Sprintf("PEER%d", i), h.CallerAddress(), fmt.Sprintf("CALLER%d", i))
	}
	s.placeholders = strings.NewReplacer(pairs...)
}

// substitutions replace what differs between runs.
var substitutions = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`\b(accepted|ended|deadline)=\d+`), "${1}=MILLIS"},
	{regexp.MustCompile(`\b(waitedMS)=\d+`), "${1}=MILLIS"},
	{regexp.MustCompile(`\b[a-z]+-w\d\d\b`), "WORKER"}, // any free one may be chosen
	{regexp.MustCompile(` +(\d+(\.\d+)?(ms|s) +){3}`), "  P50  P90  P99  "},
	{regexp.MustCompile(`("leads"): (true|false)`), "${1}: true for one host"},
	{regexp.MustCompile(`"(leader|host)": "PEER\d"`), `"${1}": "PEER"`}, // any may lead; the order follows the ports
	{regexp.MustCompile(`("ms"): \d+`), "${1}: MILLIS"},                 // of a stage
	{regexp.MustCompile(`("power"): [\d.]+`), "${1}: CORES"},
	{regexp.MustCompile(`("term"): \d+`), "${1}: TERM"},
	// A job that is not waited for may be placed before its answer is written.
	{regexp.MustCompile(`"state": "(queued|running)"`), "\"state\": \"queued\" or \"running\""},
}

// write writes text into the script and replaces what differs between runs.
func (s *session) write(text string) {
	text = s.placeholders.Replace(text)
	for _, r := range substitutions {
		text = r.pattern.ReplaceAllString(text, r.replacement)
	}
	s.script.WriteString(text)
}

// heading writes a heading into the script: what the user does and what is expected.
func (s *session) heading(text string) { fmt.Fprintf(&s.script, "## %s\n\n", text) }

// apiCall is one HTTP request of a session.
type apiCall struct {
	host         int
	key          string // empty for none
	method, path string
	body         string
}

// record sends a request, writes it and its answer into the script and returns the body
// of the answer.
func (s *session) record(c apiCall) []byte {
	s.t.Helper()
	status, header, body := s.send(c)
	s.recordCall(c, status, header, body)
	return body
}

// recordCall writes a request and its answer into the script, with a long request body
// truncated and JSON of the answer indented.
func (s *session) recordCall(c apiCall, status int, header http.Header, body []byte) {
	c.body = s.placeholders.Replace(c.body)
	s.write(fmt.Sprintf("> %s %s as %s at CALLER%d\n", c.method, c.path, callerName(c.key), c.host))
	if c.body != "" {
		s.write(indent("> ", shorten(c.body)))
	}
	s.write(fmt.Sprintf("< %d %s\n", status, header.Get("Content-Type")))
	if at := header.Get("Retry-After"); at != "" {
		s.write("< Retry-After: SECONDS\n")
	}
	s.write(indent("< ", pretty(body)) + "\n")
}

// send sends a request, unrecorded, and returns the answer. It fails the test if there is none.
func (s *session) send(c apiCall) (int, http.Header, []byte) {
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

// awaitAnswer repeats a request, unrecorded, until the body of its answer contains all
// fragments. It fails the test after waitTimeout.
func (s *session) awaitAnswer(c apiCall, fragments ...string) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		_, _, body := s.send(c)
		all := true
		for _, w := range fragments {
			all = all && bytes.Contains(body, []byte(w))
		}
		if all {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("no answer with %q from %s in time; last answer: %s", fragments, c.path, body)
		}
	}
}

// applyFirstConfig applies the configuration, unrecorded, and waits until it is in force.
func (s *session) applyFirstConfig() {
	s.t.Helper()
	s.send(apiCall{0, operator, "PUT", "/v1/configuration", changeRequest(0, "first", configuration)})
	s.awaitConfig(1)
}

// awaitConfig waits until a version is in force on all hosts and the leader reaches all
// targets.
func (s *session) awaitConfig(version int64) {
	s.t.Helper()
	for i := range s.site.Hosts() {
		s.awaitAnswer(apiCall{i, operator, "GET", "/v1/configuration", ""}, fmt.Sprintf(`"version":%d,`, version))
		s.awaitTargets(i)
	}
}

// awaitTargets waits until a host's view of the fleet has all targets ready. It fails the test
// after waitTimeout.
func (s *session) awaitTargets(host int) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		_, _, body := s.send(apiCall{host, operator, "GET", "/v1/fleet", ""})
		if bytes.Count(body, []byte(`"ready"`)) == 4*len(site.Zones) {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("not all targets ready in time; last answer: %s", body)
		}
	}
}

// compareGolden fails the test if the script differs from its golden file.
func (s *session) compareGolden(name string) {
	s.t.Helper()
	goldie.New(s.t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt"), goldie.WithDiffEngine(goldie.ClassicDiff)).
		Assert(s.t, name, s.script.Bytes())
}

// changeRequest returns the body of a request to replace the configuration of a base version.
func changeRequest(base int64, id, text string) string {
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

func callerName(key string) string {
	if key == "" {
		return "nobody"
	}
	return key
}

// shorten truncates a long body and appends its size.
func shorten(body string) string {
	const limit = 200
	if len(body) <= limit {
		return body
	}
	return fmt.Sprintf("%s... (%d bytes)", body[:limit], len(body))
}

// pretty returns a JSON body indented, and any other as it is.
func pretty(body []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, bytes.TrimSpace(body), "", "  ") == nil {
		return b.String()
	}
	return string(body)
}

// indent puts a prefix before each line of a text.
func indent(with, text string) string {
	return with + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n"+with) + "\n"
}
