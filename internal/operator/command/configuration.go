package command

import (
	"fmt"
	"text/tabwriter"

	"github.com/google/uuid"
)

type applyCommand struct {
	streams
	hostOptions
	Base   int64  `long:"base" default:"-1" description:"version the text is based on; -1 stands for the version in force on the host"`
	Change string `long:"change" description:"change id; repeat it to retry after a lost answer"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute makes a configuration text current. Without --base it replaces the version that
// is in force on the host when it runs.
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
	hostOptions
	Text bool `long:"text" description:"print the configuration text in force"`
}

// Execute prints the versions in force on all hosts, or the text in force on one.
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
		_, _ = fmt.Fprintln(w, "HOST\tVERSION\tLEADS\tREACHES THE STORE")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%t\t%t\n", r.Host, r.Version, r.Leads, r.StoreUp)
		}
	})
}
