package command

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/settings"
)

// Settings with a faulty line are reloaded. The host keeps its settings, and applies the
// next version without faults.
func TestFaultySettingsAreNotApplied(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.ini")
	write := func(body string) {
		if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const valid = "[host]\nzone = leon\ncallerAddress = 127.0.0.1:1\npeerAddress = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		hangup := make(chan os.Signal)
		applied := 0
		go reloadOnSignal(ctx, file, hangup, logr.Discard(), func(settings.Settings) { applied++ })
		for i, step := range []struct {
			body    string
			applied int
		}{{valid, 1}, {valid + "[limit]\n", 1}, {"", 1}, {valid + "[limits]\nmaxBody = 9\n", 2}} {
			write(step.body)
			hangup <- syscall.SIGHUP
			synctest.Wait()
			if applied != step.applied {
				t.Fatalf("reload %d: settings applied %d times, want %d", i, applied, step.applied)
			}
		}
		cancel()
		synctest.Wait()
		is.Equal(len(hangup), 0)
	})
}
