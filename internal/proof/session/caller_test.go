package session_test

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"guavaglade.example/guavaglade/internal/work/request"
)

// jobRequest returns the body of a request for a job that runs for so many milliseconds.
func jobRequest(id, kind string, millis int) string {
	input := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"runMillis": %d}`, millis))
	return fmt.Sprintf(`{"requestId": %q, "service": "refill", "job": %q, "input": %q}`, id, kind, input)
}

// jobPath returns the path of the job that norte requested under an id.
func jobPath(id string) string { return "/v1/jobs/" + string(request.JobID(norte, id)) }

// TestCaller records the requests and answers of a caller's session and compares them with
// a golden file: accepted, repeated and conflicting requests, cancelled jobs, jobs of other
// accounts and a job that cannot run.
func TestCaller(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.applyFirstConfig()
	s.heading("without a key, and with a wrong one")
	s.record(apiCall{0, "", "GET", "/v1/jobs", ""})
	s.record(apiCall{0, "wrong", "GET", "/v1/jobs", ""})
	s.heading("a job, waited for")
	s.record(apiCall{0, norte, "POST", "/v1/jobs?wait=20s", jobRequest("r1", "label", 20)})
	s.heading("the same request again: the same answer, nothing runs twice")
	s.record(apiCall{0, norte, "POST", "/v1/jobs?wait=20s", jobRequest("r1", "label", 20)})
	s.heading("another request under the same id: refused")
	s.record(apiCall{0, norte, "POST", "/v1/jobs?wait=20s", jobRequest("r1", "bill", 20)})
	s.heading("a long job, asked for at once and waited for later, at another host")
	s.record(apiCall{0, norte, "POST", "/v1/jobs", jobRequest("r2", "forecast", 400)})
	s.awaitAnswer(apiCall{0, norte, "GET", jobPath("r2"), ""}, `"running"`)
	s.record(apiCall{0, norte, "GET", jobPath("r2"), ""})
	s.awaitAnswer(apiCall{0, norte, "GET", jobPath("r2"), ""}, `"completed"`)
	s.record(apiCall{1, norte, "GET", jobPath("r2") + "?wait=20s", ""})
	s.heading("its whole story")
	s.awaitAnswer(apiCall{0, norte, "GET", jobPath("r2") + "/explain", ""}, `"job ended"`)
	s.record(apiCall{0, norte, "GET", jobPath("r2") + "/explain", ""})
	s.heading("a job that is cancelled while it runs")
	s.record(apiCall{0, norte, "POST", "/v1/jobs", jobRequest("r3", "label", 60000)})
	s.awaitAnswer(apiCall{0, norte, "GET", jobPath("r3"), ""}, `"running"`)
	s.record(apiCall{0, norte, "DELETE", jobPath("r3"), ""})
	s.record(apiCall{0, norte, "GET", jobPath("r3") + "?wait=20s", ""})
	s.heading("cancelled again: nothing more happens")
	s.record(apiCall{0, norte, "DELETE", jobPath("r3"), ""})
	s.heading("a job that is cancelled before it is submitted: it is refused for good, at another host, too")
	s.record(apiCall{0, norte, "DELETE", jobPath("r5"), ""})
	s.record(apiCall{1, norte, "POST", "/v1/jobs", jobRequest("r5", "label", 20)})
	s.record(apiCall{0, norte, "GET", jobPath("r5"), ""})
	s.heading("all its jobs")
	s.record(apiCall{0, norte, "GET", "/v1/jobs", ""})
	s.heading("another account sees none of them")
	s.record(apiCall{0, sur, "GET", jobPath("r1"), ""})
	s.record(apiCall{0, sur, "GET", jobPath("r1") + "/explain", ""})
	s.record(apiCall{0, sur, "DELETE", jobPath("r1"), ""})
	s.record(apiCall{0, sur, "GET", "/v1/jobs", ""})
	s.heading("a job that can never run")
	s.record(apiCall{0, norte, "POST", "/v1/jobs?wait=20s", jobRequest("r4", "huge", 20)})
	s.heading("its guarantees, and those of another account")
	s.record(apiCall{0, norte, "GET", "/v1/guarantees", ""})
	s.record(apiCall{0, sur, "GET", "/v1/guarantees", ""})
	s.compareGolden("caller")
}

// TestBadInput records the answers to invalid requests and compares them with a golden file:
// bad bodies, paths, methods and waits, and what only operators may do. None adds a job.
func TestBadInput(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.applyFirstConfig()
	for _, c := range []struct{ what, body string }{
		{"no JSON", "refill please"},
		{"a field that is not known", `{"requestId": "r1", "priority": 9}`},
		{"no request id", `{"service": "refill", "job": "label"}`},
		{"a request id with a slash", `{"requestId": "a/b", "service": "refill", "job": "label"}`},
		{"a service that is not there", `{"requestId": "r1", "service": "brew", "job": "label"}`},
		{"a job that is not there", `{"requestId": "r1", "service": "refill", "job": "paint"}`},
		{"input that is not base64", `{"requestId": "r1", "service": "refill", "job": "label", "input": "{}"}`},
		{"input that is too large", `{"requestId": "r1", "service": "refill", "job": "label", "input": "` + strings.Repeat("aaaa", 2000) + `"}`},
		{"a body that is too large", `{"requestId": "` + strings.Repeat("r", 1<<20) + `"}`},
	} {
		s.heading(c.what)
		s.record(apiCall{0, norte, "POST", "/v1/jobs", c.body})
	}
	s.heading("a wait that is none")
	s.record(apiCall{0, norte, "POST", "/v1/jobs?wait=soon", jobRequest("r1", "label", 20)})
	s.heading("a job that is not there")
	s.record(apiCall{0, norte, "GET", "/v1/jobs/nothing", ""})
	s.heading("a path that is not there, and a method that is none of the path's")
	s.record(apiCall{0, norte, "GET", "/v1/job", ""})
	s.record(apiCall{0, norte, "PATCH", "/v1/jobs", ""})
	s.heading("what only operators may")
	s.record(apiCall{0, norte, "GET", "/v1/configuration", ""})
	s.record(apiCall{0, norte, "GET", "/v1/burn", ""})
	s.heading("nothing of it was taken")
	s.record(apiCall{0, norte, "GET", "/v1/jobs", ""})
	s.compareGolden("badInput")
}
