package config

import (
	"fmt"
	"slices"
	"strings"
)

// States of a service in the depth-first search over depends_on.
const (
	unvisited = iota
	onPath    // on the path from the root of the search to the current service
	finished
)

// checkDependencies reports unknown services in depends_on, and each dependency
// cycle once.
func (v *validator) checkDependencies() {
	indexByName := make(map[string]int)
	for i, s := range v.config.Services {
		indexByName[s.Name] = i
		for j, name := range s.DependsOn {
			v.checkReference(v.services, "service", fmt.Sprintf("service[%d].depends_on[%d]", i, j), name)
		}
	}
	search := cycleSearch{validator: v, indexByName: indexByName, states: make([]int, len(v.config.Services))}
	for i := range v.config.Services {
		search.visit(i)
	}
}

// cycleSearch is a depth-first search for dependency cycles. It numbers services
// by their position in the document.
type cycleSearch struct {
	*validator
	indexByName map[string]int
	states      []int
	path        []int
}

// visit searches the services that service i depends on. The recursion is no
// deeper than the number of services, which MaxDocumentBytes bounds.
func (s *cycleSearch) visit(i int) {
	if s.states[i] != unvisited {
		return
	}
	s.states[i] = onPath
	s.path = append(s.path, i)
	for j, name := range s.config.Services[i].DependsOn {
		next, ok := s.indexByName[name]
		switch {
		case !ok:
		case s.states[next] == onPath:
			s.Add(fmt.Sprintf("service[%d].depends_on[%d]", i, j), name, "closes the cycle "+s.formatCycle(next))
		default:
			s.visit(next)
		}
	}
	s.path = s.path[:len(s.path)-1]
	s.states[i] = finished
}

// formatCycle returns the names of the services on the path from first to its
// end and back to first.
func (s *cycleSearch) formatCycle(first int) string {
	var names []string
	for _, i := range s.path[slices.Index(s.path, first):] {
		names = append(names, s.config.Services[i].Name)
	}
	return strings.Join(append(names, s.config.Services[first].Name), " -> ")
}
