package command

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"
)

type fleetViewCommand struct {
	streams
	target
}

// Execute shows the workers, the queue and the guarantees of each zone.
func (c *fleetViewCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	views, err := k.Fleet(ctx)
	if err != nil {
		return err
	}
	return c.print(c.streams, views, func(w *tabwriter.Writer) {
		for _, v := range views {
			_, _ = fmt.Fprintf(w, "zone %s\tplacer %s\twaiting %d\tquarantined %v\t%s\n", v.Zone, v.Placer, v.Waiting, v.Quarantined, v.Error)
			for _, k := range v.Workers {
				_, _ = fmt.Fprintf(w, "  worker %s\track %s\tfree %d of %d\tleaving %t\n", k.ID, k.Rack, k.Free, k.Accelerators, k.Leaving)
			}
			if v.Head != nil {
				_, _ = fmt.Fprintf(w, "  room is kept for %s\tplanned %s\n", v.Head.Job, v.Head.Planned.Format(time.TimeOnly))
			}
			for _, t := range v.Stragglers {
				_, _ = fmt.Fprintf(w, "  straggler %s\ton %s\t%s\n", t.Job, t.Worker, t.Reason)
			}
			for _, g := range v.Guarantees {
				_, _ = fmt.Fprintf(w, "  guarantee %s\t%d x %s\tat risk %d\n", g.Account, g.Count, g.Shape, g.AtRisk)
			}
		}
	})
}

type ticketCommand struct {
	streams
	target
}

// Execute gets a ticket.
func (c *ticketCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	v, err := k.Ticket(ctx)
	if err != nil {
		return err
	}
	return c.print(c.streams, v, func(w *tabwriter.Writer) { _, _ = fmt.Fprintln(w, v.Ticket) })
}

type reportCommand struct {
	streams
	target
	SVG string `long:"svg" description:"write a plot of the burn rates to this file"`
}

// Execute prints the burn report of all hosts.
func (c *reportCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	r, err := k.Burn(ctx)
	if err != nil {
		return err
	}
	if c.SVG != "" {
		if err := writeTo(c.SVG, r.WriteSVG); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.WriteJSON(c.out)
	}
	return r.WriteText(c.out)
}

func writeTo(file string, write func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
