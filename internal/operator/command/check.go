package command

import (
	"encoding/json"
	"errors"
	"fmt"

	"guavaglade.example/guavaglade/internal/config/document"
	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/settings"
)

type checkCommand struct {
	streams
	JSON bool `long:"json" description:"print JSON, one object for each file"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Kinds of text that can be checked.
const (
	kindSettings      = "settings"
	kindConfiguration = "configuration"
)

// checked is what was found in one file.
type checked struct {
	File   string          `json:"file"`
	Kind   string          `json:"kind"`
	Faults document.Faults `json:"faults"` // empty: none, never nil
	holds  string          // what a text without faults describes
}

// errFaults says that a text has faults.
var errFaults = errors.New("the text has faults; mend each line")

// Execute checks configuration texts and settings, and prints every fault of each.
// A text with a section [host] is taken for settings.
func (c *checkCommand) Execute([]string) error {
	var failed []error
	for _, file := range c.Args.Files {
		found, err := checkFile(file)
		if err == nil {
			err = c.tell(found)
		}
		if err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

func (c *checkCommand) tell(found checked) error {
	if c.JSON {
		if err := json.NewEncoder(c.out).Encode(found); err != nil {
			return err
		}
	}
	switch {
	case len(found.Faults) > 0 && c.JSON: // told already
		return fmt.Errorf("%s: %w", found.File, errFaults)
	case len(found.Faults) > 0:
		return fmt.Errorf("%s: %w:\n%w", found.File, errFaults, found.Faults)
	case c.JSON:
		return nil
	}
	_, err := fmt.Fprintf(c.out, "%s: no faults, %s\n", found.File, found.holds)
	return err
}

func checkFile(file string) (checked, error) {
	body, err := readFile(file)
	if err != nil {
		return checked{}, err
	}
	if settings.IsSettings(body) {
		return checkSettings(file, body)
	}
	return checkConfiguration(file, body)
}

func checkSettings(file string, body []byte) (checked, error) {
	found := checked{File: file, Kind: kindSettings, Faults: document.Faults{}}
	s, err := settings.Parse(file, body)
	var faulty *settings.Error
	switch {
	case errors.As(err, &faulty):
		found.Faults = faulty.Faults()
	case err != nil:
		return checked{}, err
	}
	found.holds = fmt.Sprintf("settings of a host in zone %s, at %s for callers", s.Zone(), s.CallerAddress())
	return found, nil
}

func checkConfiguration(file string, body []byte) (checked, error) {
	found := checked{File: file, Kind: kindConfiguration, Faults: document.Faults{}}
	if faults := text.Check(body); len(faults) > 0 {
		found.Faults = faults
		return found, nil
	}
	config, err := text.Parse(body)
	if err != nil {
		return checked{}, fmt.Errorf("%s: %w", file, err)
	}
	found.holds = fmt.Sprintf("%d services, %d client accounts", len(config.Services()), len(config.Accounts()))
	return found, nil
}
