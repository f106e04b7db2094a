package api

import (
	"bufio"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/settings"
)

// documentedCalls returns the calls that the OpenAPI page describes, as "GET /path".
func documentedCalls(t *testing.T) []string {
	t.Helper()
	f, err := os.Open("../../../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var calls []string
	path := ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		word := strings.TrimSuffix(strings.TrimSpace(line), ":")
		switch indent := len(line) - len(strings.TrimLeft(line, " ")); {
		case indent == 2 && strings.HasPrefix(word, "/"):
			path = word
		case indent == 0:
			path = ""
		case indent == 4 && path != "" && slices.Contains([]string{"get", "put", "post", "delete"}, word):
			calls = append(calls, strings.ToUpper(word)+" "+path)
		}
	}
	return calls
}

// The served routes must be exactly the calls that docs/openapi.yaml describes.
func TestRoutesMatchOpenAPI(t *testing.T) {
	is := is.New(t)
	var served []string
	a := New(nil, settings.Settings{}, http.NotFoundHandler())
	is.NoErr(a.router().Walk(func(r *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		path, _ := r.GetPathTemplate()
		methods, _ := r.GetMethods()
		for _, m := range methods {
			served = append(served, m+" "+path)
		}
		return nil
	}))
	want := documentedCalls(t)
	slices.Sort(served)
	slices.Sort(want)
	is.Equal(served, want)
}
