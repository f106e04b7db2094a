package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/work/job"
)

// callTime bounds a call that does not wait for a job.
const callTime = 15 * time.Second

// target is how a command reaches the hosts.
type target struct {
	Host []string `long:"host" default:"127.0.0.1:7301" description:"IP:port of a host; give several to try each in turn"`
	Key  string   `long:"key" env:"GUAVAGLADE_KEY" description:"key of a client account or operator"`
	CA   string   `long:"ca" description:"PEM file of the authority that signed the hosts' certificate; the hosts are then called over TLS"`
	JSON bool     `long:"json" description:"print JSON"`
}

// client returns a client of the hosts, over TLS if an authority is named.
func (t target) client() (*client.Client, error) {
	if t.CA == "" {
		return client.New(t.Host, t.Key, nil), nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: no certificate in it", t.CA)
	}
	hosts := make([]string, 0, len(t.Host))
	for _, h := range t.Host {
		if !strings.Contains(h, "://") {
			h = "https://" + h
		}
		hosts = append(hosts, h)
	}
	rt := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return client.New(hosts, t.Key, rt), nil
}

func (t target) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTime)
}

// print writes a value as JSON, or as text by f.
func (t target) print(s streams, v any, f func(w *tabwriter.Writer)) error {
	if t.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(s.out, 2, 8, 2, ' ', 0)
	f(w)
	return w.Flush()
}

func usage(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}

type checkCommand struct {
	streams
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks a text and prints every fault.
func (c *checkCommand) Execute([]string) error {
	body, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	config, err := text.Parse(body)
	if err != nil {
		return fmt.Errorf("%s has faults; mend each line:\n%w", c.Args.File, err)
	}
	_, err = fmt.Fprintf(c.out, "%s: no faults, %d services, %d client accounts\n", c.Args.File, len(config.Services()), len(config.Accounts()))
	return err
}

type applyCommand struct {
	streams
	target
	Base   int64  `long:"base" default:"-1" description:"version the text is based on; without it the one in force on the host"`
	Change string `long:"change" description:"change id; give the same again after an answer was lost"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute makes a text current.
func (c *applyCommand) Execute([]string) error {
	body, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	if c.Base < 0 {
		current, err := k.Configuration(ctx)
		if err != nil {
			return err
		}
		c.Base = current.Version
	}
	if c.Change == "" {
		c.Change = uuid.NewString()
	}
	v, err := k.Apply(ctx, c.Base, c.Change, string(body))
	if err != nil {
		return fmt.Errorf("change %s: %w", c.Change, err)
	}
	return c.print(c.streams, v, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "version %d accepted, change %s\n", v.Version, v.Change)
	})
}

type showCommand struct {
	streams
	target
	Text bool `long:"text" description:"print the configuration text in force"`
}

// Execute shows what is in force.
func (c *showCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	if c.Text {
		v, err := k.Configuration(ctx)
		if err != nil {
			return err
		}
		return c.print(c.streams, v, func(w *tabwriter.Writer) { _, _ = fmt.Fprint(w, v.Text) })
	}
	rows, err := k.InForce(ctx)
	if err != nil {
		return err
	}
	return c.print(c.streams, rows, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "ZONE\tHOST\tVERSION\tSINCE\tSTATE\tPLACER")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%t\n", r.Zone, r.Host, r.Version, r.Since.Format(time.RFC3339Nano), r.State, r.Placer)
		}
	})
}

type submitCommand struct {
	streams
	target
	Request string        `long:"request" description:"request id; the same id is the same job, also after an answer was lost"`
	Input   string        `long:"input" description:"file with the job's input, - for standard input"`
	Ticket  string        `long:"ticket" description:"ticket for a job that may run once only"`
	Wait    time.Duration `long:"wait" default:"0s" description:"how long to wait for the end"`
	Args    struct {
		Job string `positional-arg-name:"SERVICE.JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute submits a job.
func (c *submitCommand) Execute([]string) error {
	service, kind, ok := strings.Cut(c.Args.Job, ".")
	if !ok {
		return usage("%s: want SERVICE.JOB", c.Args.Job)
	}
	if c.Request == "" {
		c.Request = uuid.NewString()
	}
	var input []byte
	if c.Input != "" {
		var err error
		if input, err = readFile(c.Input); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+callTime)
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	v, err := k.Submit(ctx, server.Request{
		RequestID: c.Request, Service: service, Job: kind, Input: input, Ticket: c.Ticket,
	}, c.Wait)
	if err != nil {
		return fmt.Errorf("request %s: %w", c.Request, err)
	}
	return c.view(c.streams, v)
}

// view prints a job; one that ended otherwise than well is an error.
func (t target) view(s streams, v api.JobView) error {
	err := t.print(s, v, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", v.ID, v.State, v.Reason)
		if v.AskAgainAt != "" {
			_, _ = fmt.Fprintf(w, "its host stops; ask again: guavaglade explain --host %s %s\n", v.AskAgainAt, v.ID)
		}
		if v.Answer != nil {
			_, _ = fmt.Fprintf(w, "%s\n", v.Answer.Body())
		}
	})
	if err == nil && v.State.Final() && v.State != job.Succeeded {
		return fmt.Errorf("job %s is %s: %s", v.ID, v.State, v.Reason)
	}
	return err
}

type jobsCommand struct {
	streams
	target
}

// Execute lists the jobs that the host answers for.
func (c *jobsCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	vs, err := k.Jobs(ctx)
	if err != nil {
		return err
	}
	return c.print(c.streams, vs, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "JOB\tSTATE\tATTEMPT\tREASON")
		for _, v := range vs {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", v.ID, v.State, v.Attempt, v.Reason)
		}
	})
}

// jobArgs is the one argument of commands about a job.
type jobArgs struct {
	Job string `positional-arg-name:"JOB" required:"yes"`
}

type explainCommand struct {
	streams
	target
	Args jobArgs `positional-args:"yes"`
}

// Execute tells a job's story.
func (c *explainCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	s, err := k.Explain(ctx, c.Args.Job)
	if err != nil {
		return err
	}
	return c.print(c.streams, s, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "%s is %s\n", s.ID, s.State)
		for _, l := range s.Lines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.At.Format("15:04:05.000"), l.Step, l.State, l.Peer, l.Text)
		}
	})
}

type cancelCommand struct {
	streams
	target
	Args jobArgs `positional-args:"yes"`
}

// Execute cancels a job.
func (c *cancelCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	v, err := k.Cancel(ctx, c.Args.Job)
	if err != nil {
		return err
	}
	return c.print(c.streams, v, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "%s\tasked to cancel, was %s\n", v.ID, v.State) })
}

type demoCommand struct {
	streams
	Verbose bool `long:"verbose" description:"print the logs of all hosts to standard error"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error { return runDemo(c.streams, c.Verbose) }
