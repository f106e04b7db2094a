package text

import (
	"slices"
	"strings"
)

// references checks what one section says of another.
func (r *reader) references() {
	r.dependencies()
	r.cycles()
	r.keys()
	for _, p := range r.guarantees {
		account := p.value.Account
		if _, ok := r.config.accounts[account]; !ok {
			p.at.Faultf("", "account %q is not described; add [account %s]", account, account)
		}
	}
}

func (r *reader) dependencies() {
	for _, at := range r.services {
		for _, name := range r.config.services[serviceName(at.Name())].dependsOn {
			if _, ok := r.config.services[name]; !ok {
				at.Faultf("dependsOn", "service %q is not described; add [service %s]", name, name)
			}
		}
	}
}

// keys refuses a key that two accounts share: a request with it could be of
// either. It refuses a text that leaves no operator, as nobody could replace it.
func (r *reader) keys() {
	owner := map[string]string{}
	operators := 0
	for _, at := range r.accounts {
		a := r.config.accounts[strings.TrimPrefix(at.Name(), "account ")]
		if a.operator {
			operators++
		}
		if first, ok := owner[a.keyHash]; ok && a.keyHash != "" {
			at.Faultf("keyHash", "is the key of account %s as well", first)
			continue
		}
		owner[a.keyHash] = a.name
	}
	if len(r.accounts) > 0 && operators == 0 {
		r.accounts[0].Fault("operator", "no account has operator = true; nobody could change this configuration")
	}
}

// cycles names the services that depend on each other in a cycle, at the one
// that stands first in the text. Each such service is named at least once.
func (r *reader) cycles() {
	named := map[string]bool{}
	for _, at := range r.services {
		name := serviceName(at.Name())
		path := r.backTo(name)
		if path == nil || named[name] {
			continue
		}
		for _, n := range path {
			named[n] = true
		}
		at.Faultf("dependsOn", "services depend on each other in a cycle: %s", strings.Join(path, " -> "))
	}
}

// backTo returns a shortest way along the dependencies from a service to
// itself, with the service at both ends; nil if there is none.
func (r *reader) backTo(name string) []string {
	from := map[string]string{} // how a service was reached
	for reached := []string{name}; len(reached) > 0; reached = reached[1:] {
		for _, next := range r.config.services[reached[0]].dependsOn {
			if _, seen := from[next]; seen {
				continue
			}
			from[next] = reached[0]
			if next == name {
				return wayBack(from, name)
			}
			reached = append(reached, next)
		}
	}
	return nil
}

func wayBack(from map[string]string, name string) []string {
	way := []string{name}
	for at := from[name]; at != name; at = from[at] {
		way = append(way, at)
	}
	way = append(way, name)
	slices.Reverse(way)
	return way
}

func serviceName(section string) string { return strings.TrimPrefix(section, "service ") }
