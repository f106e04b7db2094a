package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	Done   = 0
	Failed = 1 // refused or failed
	Usage  = 2
)

// streams are where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// Run runs the command line's arguments, without the program's name, and
// returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	s := streams{out: out, err: errs}
	parser := flags.NewNamedParser("guavaglade", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "places multi-accelerator jobs under client account guarantees"
	if err := addCommands(parser, s); err != nil {
		_, _ = fmt.Fprintln(errs, "guavaglade:", err)
		return Usage
	}
	_, err := parser.ParseArgs(args)
	return s.code(err)
}

func addCommands(p *flags.Parser, s streams) error {
	stand, err := p.AddCommand("standin", "run a stand-in of the platform or of a fleet",
		"Stand-ins take the place of the users' platform and targets in trials.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []struct {
		to      *flags.Command
		name    string
		short   string
		long    string
		options any
	}{
		{p.Command, "serve", "run an entry host", "Example: guavaglade serve --settings host1.ini", &serveCommand{streams: s}},
		{p.Command, "host", "run a host on the users' platform", "Example: GUAVAGLADE_BOOT=/etc/guavaglade/local.toml guavaglade host", &hostCommand{streams: s}},
		{stand, "platform", "run a stand-in platform", "Example: guavaglade standin platform --listen 127.0.0.1:7000", &platformCommand{streams: s}},
		{stand, "fleet", "run a stand-in fleet", "Example: guavaglade standin fleet --platform 127.0.0.1:7000 --zones leon,celaya,irapuato --workers 12", &fleetCommand{streams: s}},
		{p.Command, "demo", "run everything in one process and show it", "Example: guavaglade demo", &demoCommand{streams: s}},
		{p.Command, "check", "check a configuration text", "Example: guavaglade check examples/spf.ini", &checkCommand{streams: s}},
		{p.Command, "apply", "make a configuration text current", "Example: guavaglade apply --host 127.0.0.1:7301 --key KEY examples/spf.ini", &applyCommand{streams: s}},
		{p.Command, "show", "show what is in force on each host", "Example: guavaglade show --host 127.0.0.1:7301 --key KEY", &showCommand{streams: s}},
		{p.Command, "submit", "submit a job", "Example: guavaglade submit --host 127.0.0.1:7301 --key KEY --request r1 --wait 20s refill.planRoutes", &submitCommand{streams: s}},
		{p.Command, "jobs", "list jobs", "Example: guavaglade jobs --host 127.0.0.1:7301 --key KEY", &jobsCommand{streams: s}},
		{p.Command, "explain", "tell a job's whole story", "Example: guavaglade explain --host 127.0.0.1:7301 --key KEY JOB", &explainCommand{streams: s}},
		{p.Command, "cancel", "cancel a job", "Example: guavaglade cancel --host 127.0.0.1:7301 --key KEY JOB", &cancelCommand{streams: s}},
		{p.Command, "ticket", "get a ticket for a request that may run once only", "Example: guavaglade ticket --host 127.0.0.1:7301 --key KEY", &ticketCommand{streams: s}},
		{p.Command, "fleet", "show workers, queues and guarantees of each zone", "Example: guavaglade fleet --host 127.0.0.1:7301 --key KEY", &fleetViewCommand{streams: s}},
		{p.Command, "report", "print the burn report", "Example: guavaglade report --host 127.0.0.1:7301 --key KEY --svg burn.svg", &reportCommand{streams: s}},
	} {
		if _, err := c.to.AddCommand(c.name, c.short, c.long, c.options); err != nil {
			return fmt.Errorf("command %s: %w", c.name, err)
		}
	}
	return nil
}

// code prints the error and returns the exit code that stands for it.
func (s streams) code(err error) int {
	if err == nil {
		return Done
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(s.out, usage.Message)
			return Done
		}
		_, _ = fmt.Fprintf(s.err, "guavaglade: %s; see guavaglade --help\n", usage.Message)
		return Usage
	}
	_, _ = fmt.Fprintln(s.err, "guavaglade:", err)
	return Failed
}

// readFile reads a file, or standard input for a single dash.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
