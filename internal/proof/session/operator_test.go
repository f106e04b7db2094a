package session_test

import (
	"fmt"
	"strings"
	"testing"

	"guavaglade.example/guavaglade/internal/standin/rows"
)

// TestOperator plays an operator's session: from a system without any text to
// the report on what callers got.
func TestOperator(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	for i := range s.site.Hosts() {
		s.awaitTargets(i)
	}
	s.note("nothing is in force: not ready, but alive")
	s.do(call{0, "", "GET", "/readyz", ""})
	s.do(call{0, "", "GET", "/healthz", ""})
	s.do(call{0, operator, "GET", "/v1/configuration", ""})
	s.note("a text with faults: each with its line, nothing is changed")
	faulty := strings.Replace(configuration, "accelerators = 8", "accelerators = eight", 1)
	faulty = strings.Replace(faulty, "[service refill]", "[service refill]\ncolour = green", 1) + "[job brew.tea]\n"
	s.do(call{0, operator, "PUT", "/v1/configuration", change(0, "c1", faulty)})
	s.note("a text whose guarantees do not fit into the fleet")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(0, "c1", strings.Replace(configuration, "zones = leon\n", "zones = leon\ncount = 99\n", 1))})
	s.note("a change without an id")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(0, "", configuration)})
	s.note("the first text")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(0, "c1", configuration)})
	s.settle(1)
	s.note("in force on all hosts")
	s.do(call{1, operator, "GET", "/v1/configuration", ""})
	s.until(call{1, operator, "GET", "/v1/inforce", ""}, s.versions(1)...)
	s.do(call{1, operator, "GET", "/v1/inforce", ""})
	s.do(call{1, "", "GET", "/readyz", ""})
	s.note("the fleet and the guarantees")
	s.do(call{0, operator, "GET", "/v1/fleet", ""})
	s.do(call{0, operator, "GET", "/v1/guarantees", ""})
	s.note("a zone is evacuated: its room is not usable, and what is guaranteed is told beside it")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(1, "c2", configuration+"[evacuation leon]\n")})
	s.until(call{1, operator, "GET", "/v1/fleet", ""}, `"evacuated":true`)
	s.do(call{1, operator, "GET", "/v1/fleet", ""})
	s.note("it is restored")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(2, "c3", configuration+"[evacuation leon]\nactive = false\n")})
	s.settle(3)
	s.note("the report after two jobs, one of which failed")
	s.send(call{0, norte, "POST", "/v1/jobs?wait=20s", order("r1", "label", 20)})
	s.send(call{0, norte, "POST", "/v1/jobs?wait=20s", `{"requestId": "r2", "service": "refill", "job": "bill", "input": "eyJydW5NaWxsaXMiOiAyMCwgImZhaWwiOiB0cnVlfQ=="}`})
	s.do(call{0, norte, "GET", path("r2"), ""})
	s.do(call{0, operator, "GET", "/v1/burn?format=text", ""})
	s.end("operator")
}

// versions are the words of a view in which each host has the version in force.
func (s *session) versions(version int) (words []string) {
	for _, h := range s.site.Hosts() {
		words = append(words, fmt.Sprintf(`"host":%q,"version":%d,`, h.PeerAddress(), version))
	}
	return words
}

// TestOperatorsRace plays two operators that change the same version, a change
// that is sent twice, and one whose answer is lost.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.ready()
	s.note("both have read version 1; the first one changes it")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(1, "first-2", configuration+"# first\n")})
	s.note("the second one is told what is current; nothing is changed")
	s.do(call{1, operator, "PUT", "/v1/configuration", change(1, "second-2", configuration+"# second\n")})
	s.note("the first one sends its change again: it is settled, and not made twice")
	s.do(call{2, operator, "PUT", "/v1/configuration", change(1, "first-2", configuration+"# first\n")})
	s.note("another text under the same change id: refused")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(1, "first-2", configuration+"# other\n")})
	s.note("the second one reads, and changes what is current")
	s.settle(2)
	s.do(call{1, operator, "PUT", "/v1/configuration", change(2, "second-3", configuration+"# first\n# second\n")})
	s.settle(3)
	s.note("a base that was never current")
	s.do(call{0, operator, "PUT", "/v1/configuration", change(9, "first-10", configuration)})
	s.note("the platform is down: not accepted")
	s.trouble(rows.Faults{Refuse: true})
	s.do(call{0, operator, "PUT", "/v1/configuration", change(3, "first-4", configuration+"# four\n")})
	s.note("the platform makes the write and loses the answer; sent again, it is settled")
	s.trouble(rows.Faults{LostAnswers: 1})
	s.do(call{0, operator, "PUT", "/v1/configuration", change(3, "first-4", configuration+"# four\n")})
	s.trouble(rows.Faults{})
	s.do(call{0, operator, "PUT", "/v1/configuration", change(3, "first-4", configuration+"# four\n")})
	s.settle(4)
	s.do(call{2, operator, "GET", "/v1/configuration", ""})
	s.end("operatorsRace")
}
