package command

import (
	"log/slog"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/report/linelog"
	"guavaglade.example/guavaglade/internal/report/metrics"
	"guavaglade.example/guavaglade/platform"
)

type hostCommand struct {
	streams
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" description:"lowest level that is logged"`
}

// Execute runs a host on the users' platform until it is stopped.
func (c *hostCommand) Execute([]string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return err
	}
	out := linelog.New(c.out)
	defer out.Close()
	scope, handler, closer := metrics.New()
	defer func() { _ = closer.Close() }() // the process ends
	return platform.Serve(scope, handler, logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})))
}
