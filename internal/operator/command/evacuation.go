package command

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// zoneArgs is the one argument of commands about a zone.
type zoneArgs struct {
	Zone string `positional-arg-name:"ZONE" required:"yes"`
}

type evacuateCommand struct {
	streams
	target
	Empty bool     `long:"empty" description:"evacuate a zone in which no target is listed, too"`
	Args  zoneArgs `positional-args:"yes"`
}

// Execute has a zone evacuated. A zone without targets is perhaps misspelt.
func (c *evacuateCommand) Execute([]string) error {
	if !c.Empty {
		if err := c.knows(c.Args.Zone); err != nil {
			return err
		}
	}
	return c.setEvacuated(c.streams, c.Args.Zone, true)
}

type restoreCommand struct {
	streams
	target
	Args zoneArgs `positional-args:"yes"`
}

// Execute takes the evacuation of a zone back.
func (c *restoreCommand) Execute([]string) error {
	return c.setEvacuated(c.streams, c.Args.Zone, false)
}

// knows returns an error if targets are listed and none of them is in the zone.
func (t target) knows(zone string) error {
	ctx, cancel := t.context()
	defer cancel()
	k, err := t.client()
	if err != nil {
		return err
	}
	f, err := k.Fleet(ctx)
	if err != nil {
		return fmt.Errorf("zone %s: ask which zones have targets: %w; --empty evacuates without asking", zone, err)
	}
	var others []string
	for _, z := range f.Zones {
		if z.Name == zone && z.Targets > 0 {
			return nil
		}
		others = append(others, z.Name)
	}
	return fmt.Errorf("zone %s: no target is listed there, but in %s; --empty evacuates it all the same", zone, strings.Join(others, ", "))
}

func (t target) setEvacuated(s streams, zone string, on bool) error {
	ctx, cancel := t.context()
	defer cancel()
	k, err := t.client()
	if err != nil {
		return err
	}
	v, unchanged, err := k.SetEvacuated(ctx, zone, on)
	if err != nil {
		return fmt.Errorf("zone %s: %w", zone, err)
	}
	done := struct {
		Zone      string `json:"zone"`
		Evacuated bool   `json:"evacuated"`
		Version   int64  `json:"version"`
		Unchanged bool   `json:"unchanged,omitempty"`
	}{zone, on, v.Version, unchanged}
	state := "is evacuated"
	if !on {
		state = "takes work"
	}
	return t.print(s, done, func(w *tabwriter.Writer) {
		if unchanged {
			_, _ = fmt.Fprintf(w, "zone %s %s already, by version %d\n", zone, state, v.Version)
			return
		}
		_, _ = fmt.Fprintf(w, "version %d accepted: zone %s %s on each host that has it in force\n", v.Version, zone, state)
	})
}
