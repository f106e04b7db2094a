package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/process"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/report/linelog"
	"guavaglade.example/guavaglade/internal/report/metrics"
	"guavaglade.example/guavaglade/platform"
	"guavaglade.example/guavaglade/platform/standin"
)

type serveCommand struct {
	streams
	Settings      string `long:"settings" required:"yes" description:"INI file with the host's settings"`
	PrintSettings bool   `long:"print-settings" description:"print each setting in force with its default, and exit"`
}

// Execute runs the host until SIGTERM or SIGINT, and reloads the settings at SIGHUP. With
// --print-settings it only prints them.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if c.PrintSettings {
		return s.Print(c.out)
	}
	callers, peers, err := process.Listen(s)
	if err != nil {
		return err
	}
	out := linelog.New(c.out)
	defer out.Close()
	level := &slog.LevelVar{}
	level.Set(s.LogLevel())
	log := logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	scope, handler, closer := metrics.New()
	defer func() { _ = closer.Close() }() // the process ends
	p, err := process.New(s, callers, peers, platform.Ports(s.Platform(), log), scope, handler, log)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go reloadOnSignal(ctx, c.Settings, hangup, log, func(s settings.Settings) {
		level.Set(s.LogLevel())
		p.Reload(s)
	})
	return p.Run(ctx)
}

// reloadOnSignal loads and applies the settings at each signal until the context ends. A
// file with faults is logged and ignored.
func reloadOnSignal(ctx context.Context, file string, signal <-chan os.Signal, log logr.Logger, apply func(settings.Settings)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
		}
		s, err := settings.Load(file)
		if err != nil {
			log.Error(err, "reload", "file", file, "outcome", "settings kept")
			continue
		}
		apply(s)
	}
}

// signalContext returns a context that is cancelled by SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

type standinCommand struct {
	streams
	Listen  string `long:"listen" default:"127.0.0.1:7000" description:"IP:port of the store; targets listen on free ports of the same IP"`
	Service string `long:"service" default:"refill" description:"service of the targets"`
	Zones   string `long:"zones" default:"leon,celaya,irapuato" description:"comma-separated availability zones; racks are assigned to them in turn"`
	Racks   int    `long:"racks" default:"6" description:"total number of racks"`
	PerRack int    `long:"per-rack" default:"8" description:"targets per rack, with 8 accelerators each"`
}

// Execute runs a stand-in platform until SIGTERM or SIGINT.
func (c *standinCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	size := standin.Size{Racks: c.Racks, PerRack: c.PerRack, Zones: strings.Split(c.Zones, ",")}
	site, err := standin.Open(ctx, c.Listen, c.Service, size)
	if err != nil {
		return err
	}
	defer site.Close()
	site.ReadJobsFromStore()
	if _, err := fmt.Fprintf(c.out, "store at %s, %d targets\n", site.Address(), c.Racks*c.PerRack); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
