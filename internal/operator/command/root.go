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

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// Run runs the command line, given without the program's name, and returns the exit code.
func Run(args []string, out, errs io.Writer) int {
	s := streams{out: out, err: errs}
	parser := flags.NewNamedParser("guavaglade", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "places multi-accelerator jobs under client account guarantees"
	if err := addCommands(parser, s); err != nil {
		_, _ = fmt.Fprintln(errs, "guavaglade:", err)
		return Usage
	}
	_, err := parser.ParseArgs(args)
	return s.exitCode(err)
}

func addCommands(p *flags.Parser, s streams) error {
	for _, c := range []struct {
		name    string
		short   string
		long    string
		options any
	}{
		{"serve", "run an entry host", "Example: guavaglade serve --settings host1.ini", &serveCommand{streams: s}},
		{"host", "run a host on the users' platform", "The platform names the settings file. Example: guavaglade host", &hostCommand{streams: s}},
		{"standin", "run a stand-in platform with targets, for testing", "Example: guavaglade standin --listen 127.0.0.1:7000 --racks 6", &standinCommand{streams: s}},
		{"demo", "run a demonstration of the whole system in one process", "Example: guavaglade demo", &demoCommand{streams: s}},
		{"check", "check configuration texts and hosts' settings", "Example: guavaglade check examples/spf.ini examples/hosts/leon.ini", &checkCommand{streams: s}},
		{"apply", "apply a configuration text", "Example: guavaglade apply --host 127.0.0.1:7301 --key KEY examples/spf.ini", &applyCommand{streams: s}},
		{"show", "show the configuration version in force on each host", "Example: guavaglade show --host 127.0.0.1:7301 --key KEY", &showCommand{streams: s}},
		{"evacuate", "stop starting work in an availability zone", "Work already running there may finish. Example: guavaglade evacuate --host 127.0.0.1:7301 --key KEY leon", &evacuateCommand{streams: s}},
		{"restore", "end the evacuation of an availability zone", "Example: guavaglade restore --host 127.0.0.1:7301 --key KEY leon", &restoreCommand{streams: s}},
		{"submit", "submit a job", "Example: guavaglade submit --host 127.0.0.1:7301 --key KEY --request r1 --wait 20s refill.planRoutes", &submitCommand{streams: s}},
		{"jobs", "list jobs", "Example: guavaglade jobs --host 127.0.0.1:7301 --key KEY", &jobsCommand{streams: s}},
		{"explain", "show the history of a job", "Example: guavaglade explain --host 127.0.0.1:7301 --key KEY JOB", &explainCommand{streams: s}},
		{"cancel", "cancel a job", "Example: guavaglade cancel --host 127.0.0.1:7301 --key KEY JOB", &cancelCommand{streams: s}},
		{"fleet", "show targets and the accounts' guarantees", "Example: guavaglade fleet --host 127.0.0.1:7301 --key KEY", &fleetCommand{streams: s}},
		{"report", "print the burn report", "Example: guavaglade report --host 127.0.0.1:7301 --key KEY --svg burn.svg", &reportCommand{streams: s}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.options); err != nil {
			return fmt.Errorf("command %s: %w", c.name, err)
		}
	}
	return nil
}

// exitCode prints the error, if any, and returns the exit code for it.
func (s streams) exitCode(err error) int {
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
