package command

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// zoneArgs is the argument of commands about a zone.
type zoneArgs struct {
	Zone string `positional-arg-name:"ZONE" required:"yes"`
}

type evacuateCommand struct {
	streams
	hostOptions
	Empty bool     `long:"empty" description:"evacuate the zone even if no target is listed in it"`
	Args  zoneArgs `positional-args:"yes"`
}

// Execute evacuates a zone. Unless --empty is given, it refuses a zone without targets,
// whose name may be misspelt.
func (c *evacuateCommand) Execute([]string) error {
	if !c.Empty {
		if err := c.checkZone(c.Args.Zone); err != nil {
			return err
		}
	}
	return c.setEvacuated(c.streams, c.Args.Zone, true)
}

type restoreCommand struct {
	streams
	hostOptions
	Args zoneArgs `positional-args:"yes"`
}

// Execute ends the evacuation of a zone.
func (c *restoreCommand) Execute([]string) error {
	return c.setEvacuated(c.streams, c.Args.Zone, false)
}

// checkZone returns an error if no target is listed in the zone.
func (o hostOptions) checkZone(zone string) error {
	ctx, cancel := o.context()
	defer cancel()
	k, err := o.client()
	if err != nil {
		return err
	}
	f, err := k.Fleet(ctx)
	if err != nil {
		return fmt.Errorf("zone %s: list zones: %w; --empty skips this check", zone, err)
	}
	var others []string
	for _, z := range f.Zones {
		if z.Name == zone && z.Targets > 0 {
			return nil
		}
		others = append(others, z.Name)
	}
	return fmt.Errorf("zone %s: no targets in this zone; known zones: %s; --empty evacuates it anyway", zone, strings.Join(others, ", "))
}

func (o hostOptions) setEvacuated(s streams, zone string, on bool) error {
	ctx, cancel := o.context()
	defer cancel()
	k, err := o.client()
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
		state = "accepts work"
	}
	return o.print(s, done, func(w *tabwriter.Writer) {
		if unchanged {
			_, _ = fmt.Fprintf(w, "zone %s %s already, by version %d\n", zone, state, v.Version)
			return
		}
		_, _ = fmt.Fprintf(w, "version %d accepted: zone %s %s on each host that has it in force\n", v.Version, zone, state)
	})
}
