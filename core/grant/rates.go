package grant

import (
	"cmp"
	"math"
	"slices"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

// rateTolerance is the divisor of a share by which it may differ from the
// desired one. Smaller changes are not worth a message.
const rateTolerance = 16

// setSpaces follows the workspaces of a configuration. One that is gone is kept
// until nobody holds a part of it.
func (a *Allocator) setSpaces(c *config.Config) {
	for _, s := range a.spaces {
		s.gone = true
	}
	a.readvertise = true
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		s := a.spaces[a.internSpace(w.Name)]
		d := quota.Divide(w, &c.Fleet)
		s.gone, s.rest, s.smallest, s.limits = false, d.Divisible, 0, w
		if d.Floor.Burst == 0 && d.Divisible.Burst > 0 {
			s.smallest = int(math.Ceil(WholeParts / d.Divisible.Burst))
		}
	}
}

// internSpace returns the index of a workspace; a new one counts as gone.
func (a *Allocator) internSpace(name string) int {
	if i, ok := a.spaceOf[name]; ok {
		return i
	}
	i := slices.IndexFunc(a.spaces, func(s *space) bool { return s.gone && s.reserved == 0 })
	if i < 0 {
		i = len(a.spaces)
		a.spaces = append(a.spaces, nil)
		for _, m := range a.members {
			m.rates, m.reserved, m.demand = append(m.rates, 0), append(m.reserved, 0), append(m.demand, 0)
		}
	} else {
		delete(a.spaceOf, a.spaces[i].name)
		for _, m := range a.members {
			m.demand[i] = 0
		}
	}
	a.spaces[i] = &space{name: name, gone: true}
	a.spaceOf[name] = i
	return i
}

// rateChanges returns what changes for one VM: all reductions that safety
// demands, and of the others the greatest.
func (a *Allocator) rateChanges(m *member) []ratePart {
	var forced, free []ratePart
	for w, s := range a.spaces {
		held := m.rates[w]
		target, must := a.rateTarget(m, s, w)
		switch {
		case target == held:
		case must:
			forced = append(forced, ratePart{space: w, parts: target})
		default:
			free = append(free, ratePart{space: w, parts: target})
		}
	}
	if len(free) > maxRateChanges {
		size := func(p ratePart) int { return max(p.parts-m.rates[p.space], m.rates[p.space]-p.parts) }
		slices.SortFunc(free, func(x, y ratePart) int { return cmp.Or(size(y)-size(x), x.space-y.space) })
		free = free[:maxRateChanges]
	}
	return append(forced, free...)
}

// rateTarget returns the parts that a VM is to have now, and whether a reduction
// cannot wait.
func (a *Allocator) rateTarget(m *member, s *space, w int) (int, bool) {
	held := m.rates[w]
	if s.gone || !m.live {
		return 0, false
	}
	room := max(a.phase.budget()-s.reserved+m.reserved[w], 0)
	if !a.phase.grow || a.phase.half && !m.half {
		parts := held
		if a.phase.half {
			// Each VM may keep an equal part of the half, so that all together stay
			// within it whatever they hold from before the split.
			parts = min(parts, WholeParts/2/max(a.maxVMs, 1))
		}
		if m.joined {
			parts = min(parts, room)
		}
		return parts, true
	}
	desired := a.desired(m, s, w)
	if held <= room && max(desired-held, held-desired) <= held/rateTolerance {
		return held, false
	}
	parts := min(desired, room)
	if parts < s.smallest {
		parts = 0
		expected := m.demand[w] > 0 || s.demand <= 0 && len(s.advertised) == 1 && s.advertised[0] == m
		if expected && room >= s.smallest {
			parts = s.smallest
		}
	}
	return parts, held > room
}

// spare is the part of what the demand leaves that goes to all VMs alike, so
// that new traffic on any of them finds a share. The rest follows the demand:
// traffic comes in bursts, and a VM whose share just covers its mean demand
// refuses requests inside the rate.
const spare = 0.25

// desired divides a rate in proportion to the demand.
func (a *Allocator) desired(m *member, s *space, w int) int {
	rate := s.rest.RatePerSecond
	if a.phase.half {
		rate /= 2
	}
	if rate <= 0 {
		return 0
	}
	demand, all := m.demand[w], max(s.demand, m.demand[w])
	left, even := rate-all, 1/float64(len(a.live))
	var part float64
	switch {
	case left <= 0:
		part = demand / all
	case all <= 0:
		part = spare*even + (1-spare)*s.expected(m, even)
	default:
		part = (demand + left*(spare*even+(1-spare)*demand/all)) / rate
	}
	return int(part * float64(a.phase.budget()))
}

// expected returns the part of the first traffic of an idle workspace that is
// to be expected at a VM. Without it the first requests find the token or two of
// an equal part, and are refused until the share has followed them.
func (s *space) expected(m *member, even float64) float64 {
	switch {
	case len(s.advertised) == 0:
		return even
	case slices.Contains(s.advertised, m):
		return 1 / float64(len(s.advertised))
	}
	return 0
}

// advertise computes which VMs the address list names to the callers of each
// workspace.
func (a *Allocator) advertise() {
	if !a.readvertise {
		return
	}
	a.readvertise = false
	vms := make([]fleet.VM, len(a.live))
	for i, m := range a.live {
		vms[i] = m.vm
	}
	for _, s := range a.spaces {
		s.advertised = s.advertised[:0]
		if s.gone {
			continue
		}
		addresses := fleet.WorkspaceAddresses(vms, s.limits)
		for _, address := range addresses {
			if !address.Spare && len(addresses) < len(vms) {
				s.advertised = append(s.advertised, a.members[address.ID])
			}
		}
	}
}

// resum recomputes the sums of the demand, which rounding would falsify in time.
func (a *Allocator) resum() {
	for w, s := range a.spaces {
		s.demand = 0
		for _, m := range a.live {
			s.demand += m.demand[w]
		}
	}
}
