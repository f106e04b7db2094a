package command

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"guavaglade.example/guavaglade/internal/report/view"
)

type fleetCommand struct {
	streams
	hostOptions
}

// Execute prints the zones, targets and accounts' guarantees as the leader knows them.
func (c *fleetCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	k, err := c.client()
	if err != nil {
		return err
	}
	f, err := k.Fleet(ctx)
	if err != nil {
		return err
	}
	return c.print(c.streams, f, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "leader %s\tterm %d\twaiting %d\n", f.Leader, f.Term, f.PendingSteps)
		_, _ = fmt.Fprintf(w, "guaranteed %d accelerators\tusable %d\n", f.Guaranteed, f.Usable)
		if f.Guaranteed > f.Usable {
			_, _ = fmt.Fprintln(w, "the guarantees exceed the usable accelerators")
		}
		_, _ = fmt.Fprintln(w, "ZONE\tTARGETS\tFREE\tRUNS\tEVACUATED")
		for _, z := range f.Zones {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d of %d\t%d\t%t\n", z.Name, z.Targets, z.Free, z.Accelerators, z.Runs, z.Evacuated)
		}
		printTargets(w, f.Targets)
		_, _ = fmt.Fprintln(w, "ACCOUNT\tGUARANTEED\tWANTED")
		for _, a := range f.Accounts {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", a.Name, a.Guaranteed, a.Wanted)
		}
		printLostWork(w, f.LostWork)
	})
}

// printTargets prints the targets of a fleet, with their speeds if some differ.
func printTargets(w io.Writer, targets []view.Target) {
	speeds := slices.ContainsFunc(targets, func(t view.Target) bool { return t.Slowness != 0 })
	header := "TARGET\tSERVICE\tZONE\tRACK\tFREE\tRUNS\tSTATE"
	if speeds {
		header += "\tSLOWNESS"
	}
	_, _ = fmt.Fprintln(w, header)
	for _, t := range targets {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d of %d\t%d\t%s", t.ID, t.Service, t.Zone, t.Rack, t.Free, t.Accelerators, t.Runs, t.State)
		switch {
		case t.Slowness != 0:
			_, _ = fmt.Fprintf(w, "\t%.2f", t.Slowness)
		case speeds:
			_, _ = fmt.Fprint(w, "\t-")
		}
		_, _ = fmt.Fprintln(w)
	}
}

// printLostWork prints the work that was lost in the leader's term, if any was.
func printLostWork(w io.Writer, list []view.LostWork) {
	if len(list) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "LOST SINCE THE TERM BEGAN\tPRIORITY\tCORE SECONDS")
	for _, l := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", l.Cause, l.Priority, l.CoreSeconds)
	}
}

type reportCommand struct {
	streams
	hostOptions
	SVG string `long:"svg" description:"write a plot of the burn rates to this file"`
}

// Execute prints the burn report of all hosts, and writes the plot if --svg names a file.
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
		if err := writeFile(c.SVG, r.WriteSVG); err != nil {
			return err
		}
	}
	if c.JSON {
		return r.WriteJSON(c.out)
	}
	return r.WriteText(c.out)
}

// writeFile creates or replaces a file with what write writes.
func writeFile(file string, write func(io.Writer) error) error {
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
