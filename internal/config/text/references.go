package text

import (
	"slices"
	"strings"
)

// checkReferences checks the references between sections.
func (r *reader) checkReferences() {
	r.checkDependencies()
	r.checkCycles()
	r.checkKeys()
	for _, g := range r.guarantees {
		account := g.value.Account
		if _, ok := r.config.accounts[account]; !ok {
			g.section.Faultf("", "account %q is not described; add [account %s]", account, account)
		}
	}
}

// checkDependencies adds a fault for each dependency on a service that is not described.
func (r *reader) checkDependencies() {
	for _, section := range r.services {
		for _, name := range r.config.services[serviceName(section.Name())].dependsOn {
			if _, ok := r.config.services[name]; !ok {
				section.Faultf("dependsOn", "service %q is not described; add [service %s]", name, name)
			}
		}
	}
}

// checkKeys rejects a key that two accounts share, since the account of a request with
// it would be ambiguous. It also rejects a text that describes accounts but no operator,
// since nobody could replace it.
func (r *reader) checkKeys() {
	accountOf := map[string]string{}
	operators := 0
	for _, section := range r.accounts {
		a := r.config.accounts[strings.TrimPrefix(section.Name(), "account ")]
		if a.operator {
			operators++
		}
		if first, ok := accountOf[a.keyHash]; ok && a.keyHash != "" {
			section.Faultf("keyHash", "same key as account %s", first)
			continue
		}
		accountOf[a.keyHash] = a.name
	}
	if len(r.accounts) > 0 && operators == 0 {
		r.accounts[0].Fault("operator", "no account has operator = true; nobody could change this configuration")
	}
}

// checkCycles reports cycles of dependencies, each at the service that comes first in
// the text. Each service on a cycle is reported at least once.
func (r *reader) checkCycles() {
	reported := map[string]bool{}
	for _, section := range r.services {
		name := serviceName(section.Name())
		path := r.findCycle(name)
		if path == nil || reported[name] {
			continue
		}
		for _, n := range path {
			reported[n] = true
		}
		section.Faultf("dependsOn", "services depend on each other in a cycle: %s", strings.Join(path, " -> "))
	}
}

// findCycle returns a shortest path along the dependencies from a service to itself,
// with the service at both ends; nil if there is none.
func (r *reader) findCycle(name string) []string {
	predecessor := map[string]string{} // service from which each service was reached
	for queue := []string{name}; len(queue) > 0; queue = queue[1:] {
		for _, next := range r.config.services[queue[0]].dependsOn {
			if _, visited := predecessor[next]; visited {
				continue
			}
			predecessor[next] = queue[0]
			if next == name {
				return cyclePath(predecessor, name)
			}
			queue = append(queue, next)
		}
	}
	return nil
}

// cyclePath returns the cycle that findCycle found, by following the predecessors back
// from the service to itself.
func cyclePath(predecessor map[string]string, name string) []string {
	path := []string{name}
	for node := predecessor[name]; node != name; node = predecessor[node] {
		path = append(path, node)
	}
	path = append(path, name)
	slices.Reverse(path)
	return path
}

func serviceName(section string) string { return strings.TrimPrefix(section, "service ") }
