package process_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestCommands tells of a newcomer who works with a small system by the command
// line alone, as the README says: each command ends with 0 and prints what it is
// for, and a wrong one says what is wrong.
func TestCommands(t *testing.T) {
	t.Parallel()
	r := start(t, 3, 12)
	text := filepath.Join(t.TempDir(), "text.ini")
	if err := os.WriteFile(text, []byte(configuration+"# by hand\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	at := []string{"--host", r.hosts[1].callers, "--key"}
	for _, c := range []struct {
		key  string // empty for a command that asks no host
		args []string
		want string
		code int
	}{
		{"", []string{"check", text}, "", 0},
		{operatorKey, []string{"apply", text}, "2", 0},
		{operatorKey, []string{"show"}, "leon", 0},
		{callerKey, []string{"submit", "--request", "r1", "--wait", "20s", "refill.quick"}, "succeeded", 0},
		{callerKey, []string{"jobs"}, "succeeded", 0},
		{operatorKey, []string{"fleet"}, "celaya", 0},
		{operatorKey, []string{"report"}, "refill", 0},
		{callerKey, []string{"report"}, "operator", 1},
		{callerKey, []string{"submit", "refill.nothing"}, "nothing", 1},
		{"", []string{"sumbit"}, "--help", 2},
	} {
		args := c.args
		if c.key != "" {
			args = append(append([]string{c.args[0]}, append(at, c.key)...), c.args[1:]...)
		}
		cmd := exec.CommandContext(r.ctx, binary, args...)
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%v: exit %d, want %d with %q:\n%s", c.args, got, c.code, c.want, out)
		}
	}
}
