package grant

import (
	"cmp"
	"math"
	"slices"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

// rateToleranceDivisor bounds the deviation of a share from the desired one: it
// may differ by share/rateToleranceDivisor. Smaller changes are not worth a
// message.
const rateToleranceDivisor = 16

// setWorkspaces applies the workspaces of a configuration. A removed workspace is
// kept until no VM holds a part of its rate.
func (a *Allocator) setWorkspaces(c *config.Config) {
	for _, ws := range a.workspaces {
		ws.removed = true
	}
	a.advertisedStale = true
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		ws := a.workspaces[a.internWorkspace(w.Name)]
		d := quota.Divide(w, &c.Fleet)
		ws.removed, ws.divisible, ws.minParts, ws.limits = false, d.Divisible, 0, w
		if d.Floor.Burst == 0 && d.Divisible.Burst > 0 {
			ws.minParts = int(math.Ceil(WholeParts / d.Divisible.Burst))
		}
	}
}

// internWorkspace returns the index of a workspace; a new one counts as removed.
func (a *Allocator) internWorkspace(name string) int {
	if i, ok := a.workspaceIndex[name]; ok {
		return i
	}
	i := slices.IndexFunc(a.workspaces, func(ws *workspaceState) bool { return ws.removed && ws.reserved == 0 })
	if i < 0 {
		i = len(a.workspaces)
		a.workspaces = append(a.workspaces, nil)
		for _, m := range a.members {
			m.rates, m.reserved, m.demand = append(m.rates, 0), append(m.reserved, 0), append(m.demand, 0)
		}
	} else {
		delete(a.workspaceIndex, a.workspaces[i].name)
		for _, m := range a.members {
			m.demand[i] = 0
		}
	}
	a.workspaces[i] = &workspaceState{name: name, removed: true}
	a.workspaceIndex[name] = i
	return i
}

// rateChanges returns the rate parts that change for one VM: all mandatory
// reductions, and the greatest of the other changes, at most maxRateChanges.
func (a *Allocator) rateChanges(m *member) []ratePart {
	var mandatory, optional []ratePart
	for w, ws := range a.workspaces {
		held := m.rates[w]
		parts, isMandatory := a.nextParts(m, ws, w)
		switch {
		case parts == held:
		case isMandatory:
			mandatory = append(mandatory, ratePart{workspace: w, parts: parts})
		default:
			optional = append(optional, ratePart{workspace: w, parts: parts})
		}
	}
	if len(optional) > maxRateChanges {
		size := func(p ratePart) int { return max(p.parts-m.rates[p.workspace], m.rates[p.workspace]-p.parts) }
		slices.SortFunc(optional, func(x, y ratePart) int { return cmp.Or(size(y)-size(x), x.workspace-y.workspace) })
		optional = optional[:maxRateChanges]
	}
	return append(mandatory, optional...)
}

// nextParts returns the parts that a VM is to have from now on, and whether the
// change must not be deferred.
func (a *Allocator) nextParts(m *member, ws *workspaceState, w int) (int, bool) {
	held := m.rates[w]
	if ws.removed || !m.live {
		return 0, false
	}
	available := max(a.phase.budget()-ws.reserved+m.reserved[w], 0)
	if !a.phase.mayGrow || a.phase.half && !m.halfOnly {
		parts := held
		if a.phase.half {
			// Each VM keeps at most an equal part of the half, so that all together
			// stay within the half whatever they held before the split.
			parts = min(parts, WholeParts/2/max(a.maxVMs, 1))
		}
		if m.foreignShares {
			parts = min(parts, available)
		}
		return parts, true
	}
	desired := a.desiredParts(m, ws, w)
	if held <= available && max(desired-held, held-desired) <= held/rateToleranceDivisor {
		return held, false
	}
	parts := min(desired, available)
	if parts < ws.minParts {
		parts = 0
		expected := m.demand[w] > 0 || ws.demand <= 0 && len(ws.advertised) == 1 && ws.advertised[0] == m
		if expected && available >= ws.minParts {
			parts = ws.minParts
		}
	}
	return parts, held > available
}

// evenFraction is the fraction of the unused rate that is divided equally between
// all VMs, so that new traffic on any of them finds a share. The remainder is
// divided in proportion to the demand: traffic comes in bursts, and a VM whose
// share just covers its mean demand refuses requests that are within the rate.
const evenFraction = 0.25

// desiredParts divides a rate in proportion to the demand, and the unused rate as
// evenFraction describes.
func (a *Allocator) desiredParts(m *member, ws *workspaceState, w int) int {
	rate := ws.divisible.RatePerSecond
	if a.phase.half {
		rate /= 2
	}
	if rate <= 0 {
		return 0
	}
	demand, total := m.demand[w], max(ws.demand, m.demand[w])
	unused, equal := rate-total, 1/float64(len(a.live))
	var fraction float64
	switch {
	case unused <= 0:
		fraction = demand / total
	case total <= 0:
		fraction = evenFraction*equal + (1-evenFraction)*ws.expectedFraction(m, equal)
	default:
		fraction = (demand + unused*(evenFraction*equal+(1-evenFraction)*demand/total)) / rate
	}
	return int(fraction * float64(a.phase.budget()))
}

// expectedFraction returns the fraction of an idle workspace's first traffic that
// is expected at a VM, from the address list that its callers get. With an equal
// division instead, the first requests would find only one or two tokens and be
// refused until the shares have followed the demand.
func (ws *workspaceState) expectedFraction(m *member, equal float64) float64 {
	switch {
	case len(ws.advertised) == 0:
		return equal
	case slices.Contains(ws.advertised, m):
		return 1 / float64(len(ws.advertised))
	}
	return 0
}

// updateAdvertised computes which VMs the address list names to the callers of each
// workspace, if the live VMs or the workspaces changed.
func (a *Allocator) updateAdvertised() {
	if !a.advertisedStale {
		return
	}
	a.advertisedStale = false
	vms := make([]fleet.VM, len(a.live))
	for i, m := range a.live {
		vms[i] = m.vm
	}
	for _, ws := range a.workspaces {
		ws.advertised = ws.advertised[:0]
		if ws.removed {
			continue
		}
		addresses := fleet.WorkspaceAddresses(vms, ws.limits)
		for _, address := range addresses {
			if !address.Spare && len(addresses) < len(vms) {
				ws.advertised = append(ws.advertised, a.members[address.ID])
			}
		}
	}
}

// recomputeDemand recomputes the sums of the demand, in which rounding errors
// accumulate otherwise.
func (a *Allocator) recomputeDemand() {
	for w, ws := range a.workspaces {
		ws.demand = 0
		for _, m := range a.live {
			ws.demand += m.demand[w]
		}
	}
}
