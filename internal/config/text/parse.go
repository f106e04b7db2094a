package text

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
)

// Parse reads a text and returns what it means. If the text has faults it
// returns them all, joined.
func Parse(body []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, body)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &Config{
		services:   map[string]Service{},
		accounts:   map[string]Account{},
		guarantees: map[string][]guarantee.Guarantee{},
		leaving:    map[string]bool{},
	}
	var faults []error
	for _, s := range file.Sections() {
		if err := c.section(s); err != nil {
			faults = append(faults, fmt.Errorf("[%s]: %w", s.Name(), err))
		}
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return c, nil
}

func (c *Config) section(s *ini.Section) error {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		return nil
	case "service":
		return c.service(name, s)
	case "job":
		return c.job(name, s)
	case "account":
		c.accounts[name] = Account{
			name: name, keyHash: s.Key("keyHash").String(), weight: s.Key("weight").MustFloat64(1),
			operator: s.Key("operator").MustBool(false),
		}
		return nil
	case "guarantee":
		return c.guarantee(name, s)
	case "target":
		c.leaving[name] = s.Key("leaving").MustBool(false)
		return nil
	default:
		return fmt.Errorf("unknown section kind %q", kind)
	}
}

func (c *Config) service(name string, s *ini.Section) error {
	c.services[name] = Service{
		name:          name,
		completion:    s.Key("completionWeight").MustFloat64(0.5),
		fragmentation: s.Key("fragmentationWeight").MustFloat64(0.5),
		dependsOn:     s.Key("dependsOn").Strings(","),
		objective:     Objective{Target: s.Key("objectiveTarget").MustFloat64(0), Within: s.Key("objectiveWithin").MustDuration(0)},
		kinds:         map[string]Kind{},
	}
	return nil
}

func (c *Config) job(name string, s *ini.Section) error {
	service, kind, _ := strings.Cut(name, ".")
	owner, ok := c.services[service]
	if !ok {
		return fmt.Errorf("service %q is not described before it", service)
	}
	shape, err := shapeOf(s)
	if err != nil {
		return err
	}
	owner.kinds[kind] = Kind{
		name: kind, shape: shape,
		repeatable: s.Key("repeatable").MustBool(true),
		long:       s.Key("long").MustBool(false),
		urgent:     s.Key("urgent").MustBool(false),
		stoppable:  s.Key("stoppable").MustBool(false),
		guaranteed: s.Key("guaranteed").MustBool(false),
		declared:   s.Key("declared").MustDuration(0),
		startIn:    s.Key("startIn").MustDuration(0),
	}
	return nil
}

func (c *Config) guarantee(name string, s *ini.Section) error {
	account, _, _ := strings.Cut(name, ".")
	shape, err := shapeOf(s)
	if err != nil {
		return err
	}
	g, err := guarantee.New(account, shape, s.Key("count").MustInt(1))
	if err != nil {
		return err
	}
	for _, zone := range s.Key("zones").Strings(",") {
		c.guarantees[zone] = append(c.guarantees[zone], g)
	}
	return nil
}

func shapeOf(s *ini.Section) (cell.Shape, error) {
	return cell.NewShape(
		s.Key("members").MustInt(1), s.Key("accelerators").MustInt(0), s.Key("cores").MustInt(1),
		s.Key("memory").MustInt(1024), cell.Adjacency(s.Key("adjacency").String()),
	)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
