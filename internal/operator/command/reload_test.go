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

// A line of the settings is mistyped before a reload. The host keeps what it has,
// and takes the next reading that has no faults.
func TestFaultySettingsAreNotTakenOver(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.ini")
	write := func(body string) {
		if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const sound = "[host]\nzone = leon\ncallerAddress = 127.0.0.1:1\npeerAddress = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		hangup := make(chan os.Signal)
		taken := 0
		go follow(ctx, file, hangup, logr.Discard(), func(settings.Settings) { taken++ })
		for i, step := range []struct {
			body  string
			taken int
		}{{sound, 1}, {sound + "[limit]\n", 1}, {"", 1}, {sound + "[limits]\nmaxBody = 9\n", 2}} {
			write(step.body)
			hangup <- syscall.SIGHUP
			synctest.Wait()
			if taken != step.taken {
				t.Fatalf("reading %d: %d taken over, want %d", i, taken, step.taken)
			}
		}
		cancel()
		synctest.Wait()
		is.Equal(len(hangup), 0)
	})
}
