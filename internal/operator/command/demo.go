package command

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/operator/demo"
)

const demoTimeout = 28 * time.Second

// runDemo runs the demo, for at most demoTimeout. The hosts log only if verbose is set.
func runDemo(s streams, verbose bool) error {
	log := logr.Discard()
	if verbose {
		log = logr.FromSlogHandler(slog.NewTextHandler(s.err, nil))
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return demo.Run(ctx, s.out, log)
}

type demoCommand struct {
	streams
	Verbose bool `long:"verbose" description:"print the logs of all hosts to standard error"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error { return runDemo(c.streams, c.Verbose) }
