package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"

	"github.com/google/uuid"

	"guavaglade.example/guavaglade/internal/config/text"
)

type checkCommand struct {
	streams
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// errFaults says that a text has faults.
var errFaults = errors.New("the text has faults; mend each line")

// Execute checks a text and prints every fault.
func (c *checkCommand) Execute([]string) error {
	body, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	faults := text.Check(body)
	if c.JSON {
		err = json.NewEncoder(c.out).Encode(struct {
			File   string      `json:"file"`
			Faults text.Faults `json:"faults"`
		}{c.Args.File, append(text.Faults{}, faults...)})
		if err == nil && len(faults) > 0 {
			err = fmt.Errorf("%s: %w", c.Args.File, errFaults)
		}
		return err
	}
	if len(faults) > 0 {
		return fmt.Errorf("%s: %w:\n%w", c.Args.File, errFaults, faults)
	}
	config, err := text.Parse(body)
	if err != nil {
		return err
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
		_, _ = fmt.Fprintln(w, "HOST\tVERSION\tLEADS\tREACHES THE STORE")
		for _, r := range rows {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%t\t%t\n", r.Host, r.Version, r.Leads, r.StoreUp)
		}
	})
}
