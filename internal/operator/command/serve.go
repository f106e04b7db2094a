package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/process"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/platform/remote"
	"guavaglade.example/guavaglade/internal/standin/fleet"
	"guavaglade.example/guavaglade/internal/standin/platform"
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
	log := logr.FromSlogHandler(slog.NewTextHandler(c.err, &slog.HandlerOptions{Level: s.LogLevel()}))
	p, err := process.New(s, callers, peers, log, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	return p.Run(ctx)
}

// untilSignal returns a context that ends with SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

type platformCommand struct {
	streams
	Listen string `long:"listen" default:"127.0.0.1:7000" description:"IP:port"`
}

// Execute serves the stand-in platform until it is told to stop.
func (c *platformCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: platform.NewServer(platform.NewStore()).Handler(), ReadHeaderTimeout: 5 * time.Second}
	_, _ = fmt.Fprintln(c.out, "platform", l.Addr())
	ctx, cancel := untilSignal()
	defer cancel()
	go func() {
		<-ctx.Done()
		_ = h.Close()
	}()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type fleetCommand struct {
	streams
	Platform     string `long:"platform" default:"127.0.0.1:7000" description:"IP:port of the platform whose list names the workers"`
	IP           string `long:"ip" default:"127.0.0.1" description:"IP that the workers listen on"`
	Port         int    `long:"port" default:"7100" description:"port of the first worker; 0 takes free ones"`
	Zones        string `long:"zones" default:"leon,celaya,irapuato" description:"availability zones, with commas between"`
	Workers      int    `long:"workers" default:"12" description:"workers of all zones together"`
	PerRack      int    `long:"per-rack" default:"8" description:"workers to a rack"`
	Accelerators int    `long:"accelerators" default:"8" description:"accelerators of each worker"`
	Cores        int    `long:"cores" default:"64" description:"cores of each worker"`
	Memory       int    `long:"memory" default:"262144" description:"memory of each worker in MB"`
	Slots        int    `long:"slots" default:"8" description:"tasks that a worker runs at once"`
}

// Execute serves the stand-in fleet until it is told to stop.
func (c *fleetCommand) Execute([]string) error {
	workers, err := fleet.Sizes{
		Zones: strings.Split(c.Zones, ","), Count: c.Workers, PerRack: c.PerRack,
		Accelerators: c.Accelerators, Cores: c.Cores, Memory: c.Memory, Slots: c.Slots,
	}.Workers()
	if err != nil {
		return err
	}
	f, err := fleet.Launch(c.IP, c.Port, workers)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := untilSignal()
	defer cancel()
	if err := remote.New(c.Platform, nil).Register(ctx, f.Targets()); err != nil {
		return fmt.Errorf("%w; start the platform first", err)
	}
	_, _ = fmt.Fprintln(c.out, "fleet", len(workers), "workers")
	<-ctx.Done()
	return nil
}
