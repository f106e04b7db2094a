package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/request"
)

type submitCommand struct {
	streams
	hostOptions
	Request string        `long:"request" description:"request id; repeating the id refers to the same job, also after a lost answer"`
	Input   string        `long:"input" description:"file with the job's input, - for standard input"`
	Wait    time.Duration `long:"wait" default:"0s" description:"how long to wait for the job's end"`
	Args    struct {
		Job string `positional-arg-name:"SERVICE.JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute submits a job.
func (c *submitCommand) Execute([]string) error {
	service, kind, ok := strings.Cut(c.Args.Job, ".")
	if !ok {
		return usageError("%s: want SERVICE.JOB", c.Args.Job)
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
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+callTimeout)
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	v, err := k.Submit(ctx, request.Request{RequestID: c.Request, Service: service, Job: kind, Input: input}, c.Wait)
	if err != nil {
		return fmt.Errorf("request %s: %w", c.Request, err)
	}
	return c.printJob(c.streams, v)
}

// printJob prints a job. It returns an error for one that ended but did not complete.
func (o hostOptions) printJob(s streams, v api.JobView) error {
	err := o.print(s, v, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", v.ID, v.Job, v.State) })
	if err == nil && v.State.Final() && v.State != progress.Completed {
		if v.Reason != "" {
			return fmt.Errorf("job %s is %s: %s", v.ID, v.State, v.Reason)
		}
		return fmt.Errorf("job %s is %s", v.ID, v.State)
	}
	return err
}

type jobsCommand struct {
	streams
	hostOptions
}

// Execute lists the jobs of the account, or all jobs for an operator.
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
		_, _ = fmt.Fprintln(w, "JOB\tQUEUE\tACCOUNT\tSTATE\tACCEPTED\tTASKS DONE\tRUNS")
		for _, v := range vs {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d of %d\t%d\n",
				v.ID, v.Queue, v.Account, v.State, v.Accepted.Format(time.RFC3339Nano), v.Done, v.Tasks, v.Runs)
		}
	})
}

// jobArgs is the argument of commands about a job.
type jobArgs struct {
	Job string `positional-arg-name:"JOB" required:"yes"`
}

type explainCommand struct {
	streams
	hostOptions
	Args jobArgs `positional-args:"yes"`
}

// Execute prints the history of a job.
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
		_, _ = fmt.Fprintf(w, "%s of %s is %s, as decided in term %d:\n", s.Job.ID, s.Job.Queue, s.Job.State, s.Term)
		if s.Job.Reason != "" {
			_, _ = fmt.Fprintln(w, s.Job.Reason)
		}
		if len(s.Stages) > 0 {
			_, _ = fmt.Fprintln(w, formatStages(s.Stages))
		}
		for _, l := range s.Decisions {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", l.At.Format("15:04:05.000"), l.Message, l.Inputs)
		}
	})
}

// formatStages returns the stages that took time, in one line.
func formatStages(list []view.Stage) string {
	var b strings.Builder
	b.WriteString("stages:")
	for _, s := range list {
		if s.MS > 0 {
			_, _ = fmt.Fprintf(&b, " %s %d ms", s.Name, s.MS)
		}
	}
	return b.String()
}

type cancelCommand struct {
	streams
	hostOptions
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
	if err := k.Cancel(ctx, c.Args.Job); err != nil {
		return err
	}
	done := struct {
		ID string `json:"id"`
	}{c.Args.Job}
	return c.print(c.streams, done, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "%s\tcancelled\n", done.ID) })
}
