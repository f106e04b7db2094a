package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/work/job"
)

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
