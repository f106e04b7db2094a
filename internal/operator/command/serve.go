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
	PrintSettings bool   `long:"print-settings" description:"print each setting in force with its default, and end"`
}

// Execute runs the host until it is told to stop.
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
	scope, shown, closer := metrics.New()
	defer func() { _ = closer.Close() }() // the process ends
	p, err := process.New(s, callers, peers, platform.Ports(s.Platform(), log), scope, shown, log)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go follow(ctx, c.Settings, hangup, log, func(s settings.Settings) {
		level.Set(s.LogLevel())
		p.Reload(s)
	})
	return p.Run(ctx)
}

// follow reads the settings again at each signal, until the context ends. A file
// with faults changes nothing.
func follow(ctx context.Context, file string, signal <-chan os.Signal, log logr.Logger, take func(settings.Settings)) {
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
		take(s)
	}
}

// untilSignal returns a context that ends with SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

type standinCommand struct {
	streams
	Listen  string `long:"listen" default:"127.0.0.1:7000" description:"IP:port of the store; targets take free ports of the IP"`
	Service string `long:"service" default:"refill" description:"service that the targets serve"`
	Zones   string `long:"zones" default:"leon,celaya,irapuato" description:"availability zones, with commas between; racks are given to them in turn"`
	Racks   int    `long:"racks" default:"6" description:"racks of all zones together"`
	PerRack int    `long:"per-rack" default:"8" description:"targets to a rack, with 8 accelerators each"`
}

// Execute serves a stand-in platform until it is told to stop.
func (c *standinCommand) Execute([]string) error {
	ctx, cancel := untilSignal()
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
