package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/operator/command"
)

// Each case is one command line. Its exit code and a part of both outputs must be as
// given; errors begin with the name of the program.
func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.ini")
	if err := os.WriteFile(broken, []byte("[service refill]\ncompletionWeight = much\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	brokenHost := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(brokenHost, []byte("[host]\nzone = a b\ncallerAddress = localhost\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		args []string
		code int
		out  string // part of standard output
		err  string // part of standard error
	}{
		{"help", []string{"--help"}, command.Done, "submit", ""},
		{"help of a command", []string{"apply", "--help"}, command.Done, "Example: guavaglade apply", ""},
		{"no command", nil, command.Usage, "", "--help"},
		{"unknown command", []string{"aply"}, command.Usage, "", "aply"},
		{"unknown flag", []string{"show", "--hots", "x"}, command.Usage, "", "hots"},
		{"missing argument", []string{"explain"}, command.Usage, "", "JOB"},
		{"job without its service", []string{"submit", "labelCheck"}, command.Usage, "", "SERVICE.JOB"},
		{"valid text", []string{"check", "../../../examples/spf.ini"}, command.Done, "no faults", ""},
		{"faulty text", []string{"check", broken}, command.Failed, "", "line 2"},
		{"valid settings", []string{"check", "../../../examples/hosts/leon.ini"}, command.Done, "no faults, settings of a host in zone", ""},
		{"faulty settings", []string{"check", brokenHost}, command.Failed, "", "line 2"},
		{"all faults of settings", []string{"check", brokenHost}, command.Failed, "", "line 3"},
		{"one faulty text of two", []string{"check", broken, "../../../examples/spf.ini"}, command.Failed, "spf.ini: no faults", "line 2"},
		{"faults as JSON", []string{"check", "--json", brokenHost}, command.Failed, `"kind":"settings","faults":[{`, "has faults"},
		{"no such file", []string{"check", "nowhere.ini"}, command.Failed, "", "nowhere.ini"},
		{"host not reachable", []string{"show", "--host", "127.0.0.1:1", "--key", "k"}, command.Failed, "", "127.0.0.1:1"},
		{"no settings", []string{"serve", "--settings", "nowhere.ini"}, command.Failed, "", "nowhere.ini"},
		{"settings in force", []string{"serve", "--settings", "../../../examples/hosts/leon.ini", "--print-settings"}, command.Done, "stopGrace = 20s", ""},
		{"missing zone", []string{"evacuate", "--key", "k"}, command.Usage, "", "ZONE"},
		{"restore without reachable host", []string{"restore", "--host", "127.0.0.1:1", "--key", "k", "leon"}, command.Failed, "", "zone leon"},
		{"no such certificate authority", []string{"show", "--ca", "nowhere.pem"}, command.Failed, "", "nowhere.pem"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(command.Run(c.args, &out, &errs), c.code)
			is.True(strings.Contains(out.String(), c.out))
			is.True(strings.Contains(errs.String(), c.err))
			if c.code != command.Done {
				is.True(strings.HasPrefix(errs.String(), "guavaglade: "))
			}
		})
	}
}

// The help of each command has an example, for new users to copy. Each command that prints
// results can print them as JSON, for scripts.
func TestHelpOfEachCommandHasExample(t *testing.T) {
	is := is.New(t)
	hasJSON := map[string]bool{
		"serve": false, "host": false, "standin": false, "demo": false, "check": true, "apply": true, "show": true,
		"evacuate": true, "restore": true, "submit": true, "jobs": true, "explain": true, "cancel": true, "fleet": true, "report": true,
	}
	var all bytes.Buffer
	is.Equal(command.Run([]string{"--help"}, &all, &bytes.Buffer{}), command.Done)
	for name, json := range hasJSON {
		var out bytes.Buffer
		is.Equal(command.Run([]string{name, "--help"}, &out, &bytes.Buffer{}), command.Done)
		is.True(strings.Contains(out.String(), "Example: guavaglade "+name))
		is.Equal(strings.Contains(out.String(), "--json"), json)
		is.True(strings.Contains(all.String(), "\n  "+name+" "))
	}
	_, listed, _ := strings.Cut(all.String(), "Available commands:")
	is.Equal(strings.Count(strings.TrimSpace(listed), "\n")+1, len(hasJSON)) // every command is in the table
}
