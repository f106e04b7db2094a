package client

import (
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/api"
)

// An operator who submits a job and does not learn its outcome is told under which id it can be read or
// cancelled.
func TestErrorNamesJob(t *testing.T) {
	is := is.New(t)
	err := &Error{Problem: api.Problem{Status: 504, Detail: "outcome unknown", ID: "00000000000000aa"}, Peer: "10.0.0.1:80"}
	is.Equal(err.Error(), "outcome unknown (504) from 10.0.0.1:80, job 00000000000000aa")
}
