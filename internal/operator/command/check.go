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

// Kinds of files that can be checked.
const (
	kindSettings      = "settings"
	kindConfiguration = "configuration"
)

// checkResult is the result of checking one file.
type checkResult struct {
	File    string          `json:"file"`
	Kind    string          `json:"kind"`
	Faults  document.Faults `json:"faults"` // never nil, so that JSON has [] for none
	summary string          // contents of a file without faults
}

// errFaults is the error for a file with faults.
var errFaults = errors.New("the text has faults; fix each line")

// Execute checks configuration texts and settings and prints all faults of each. A file
// with a section [host] is checked as settings.
func (c *checkCommand) Execute([]string) error {
	var failed []error
	for _, file := range c.Args.Files {
		found, err := checkFile(file)
		if err == nil {
			err = c.report(found)
		}
		if err != nil {
			failed = append(failed, err)
		}
	}
	return errors.Join(failed...)
}

// report prints the result for one file. If the file has faults, the error lists them;
// with --json they are printed instead.
func (c *checkCommand) report(found checkResult) error {
	if c.JSON {
		if err := json.NewEncoder(c.out).Encode(found); err != nil {
			return err
		}
	}
	switch {
	case len(found.Faults) > 0 && c.JSON: // printed above
		return fmt.Errorf("%s: %w", found.File, errFaults)
	case len(found.Faults) > 0:
		return fmt.Errorf("%s: %w:\n%w", found.File, errFaults, found.Faults)
	case c.JSON:
		return nil
	}
	_, err := fmt.Fprintf(c.out, "%s: no faults, %s\n", found.File, found.summary)
	return err
}

// checkFile checks a file as settings if it has a section [host], otherwise as a
// configuration text. Faults are part of the result, not an error.
func checkFile(file string) (checkResult, error) {
	body, err := readFile(file)
	if err != nil {
		return checkResult{}, err
	}
	if settings.IsSettings(body) {
		return checkSettings(file, body)
	}
	return checkConfiguration(file, body)
}

func checkSettings(file string, body []byte) (checkResult, error) {
	found := checkResult{File: file, Kind: kindSettings, Faults: document.Faults{}}
	s, err := settings.Parse(file, body)
	var faulty *settings.Error
	switch {
	case errors.As(err, &faulty):
		found.Faults = faulty.Faults()
	case err != nil:
		return checkResult{}, err
	}
	found.summary = fmt.Sprintf("settings of a host in zone %s, at %s for callers", s.Zone(), s.CallerAddress())
	return found, nil
}

func checkConfiguration(file string, body []byte) (checkResult, error) {
	found := checkResult{File: file, Kind: kindConfiguration, Faults: document.Faults{}}
	if faults := text.Check(body); len(faults) > 0 {
		found.Faults = faults
		return found, nil
	}
	config, err := text.Parse(body)
	if err != nil {
		return checkResult{}, fmt.Errorf("%s: %w", file, err)
	}
	found.summary = fmt.Sprintf("%d services, %d client accounts", len(config.Services()), len(config.Accounts()))
	return found, nil
}
