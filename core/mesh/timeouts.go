package mesh

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// RouteTimeout is the longest time that a caller of a route has said it waits. A
// caller that has spent time on its way to a VM states less, so the difference is
// the time that it has waited already. A VM with few callers, or one that has just
// started, may have seen only such callers, so the VMs tell each other.
type RouteTimeout struct {
	Route   string
	Longest time.Duration
}

// maxRouteTimeouts bounds the routes whose timeouts are kept and exchanged.
const maxRouteTimeouts = 1024

// routeTimeouts holds the longest timeout by route that is known in the fleet. The
// map is never changed once it is published in a View.
type routeTimeouts struct {
	longest map[string]time.Duration
	sum     uint64 // of all entries; equal for VMs that know the same
}

// merge takes over longer timeouts and reports whether there were any.
func (t *routeTimeouts) merge(reported []RouteTimeout) bool {
	if len(reported) == 0 {
		return false
	}
	merged, changed := maps.Clone(t.longest), false
	if merged == nil {
		merged = make(map[string]time.Duration)
	}
	for _, r := range reported {
		longest, known := merged[r.Route]
		if r.Longest > longest && (known || len(merged) < maxRouteTimeouts) {
			merged[r.Route], changed = r.Longest, true
		}
	}
	if !changed {
		return false
	}
	t.longest, t.sum = merged, 0
	for route, longest := range merged {
		t.sum ^= hashRouteTimeout(route, longest)
	}
	return true
}

func hashRouteTimeout(route string, longest time.Duration) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(route)) // a write to a hash does not fail
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(longest)))
	return h.Sum64()
}

// list returns all timeouts in the order of the routes.
func (t *routeTimeouts) list() []RouteTimeout {
	all := make([]RouteTimeout, 0, len(t.longest))
	for route, longest := range t.longest {
		all = append(all, RouteTimeout{Route: route, Longest: longest})
	}
	slices.SortFunc(all, func(a, b RouteTimeout) int { return cmp.Compare(a.Route, b.Route) })
	return all
}

// mergeTimeouts takes over longer timeouts that this VM's callers or another VM
// stated.
func (m *Machine) mergeTimeouts(reported []RouteTimeout) {
	if m.timeouts.merge(reported) {
		m.viewDirty = true
	}
}
