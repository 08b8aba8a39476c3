package mesh

import (
	"cmp"
	"math"
	"slices"
)

// leastActive is the least number of VMs that callers are sent to, where there
// are so many: the loss of one is the loss of a small part.
const leastActive = 8

const (
	// weakPart is the part of the power of its zone's strongest VM below which a
	// VM gets no callers: they choose among VMs at random, so that a weak one gets
	// as many as a strong one and takes several times as long.
	weakPart = 0.5
	// leastPerZone is the number of VMs of a zone that get callers, weak ones
	// included: one may fail.
	leastPerZone = 2
)

// MaxActiveFor returns how many VMs can share the connections that a target
// accepts, so that each has enough to serve alone what its callers send.
func MaxActiveFor(maxConnections int) int {
	const connsPerVM = 6
	if maxConnections <= 0 {
		return math.MaxInt // the targets set no bound
	}
	return max(maxConnections/connsPerVM, leastActive)
}

// active returns the VMs that callers are sent to: of each zone as many at most,
// the strongest first, and weak ones only for want of others. All VMs choose
// alike. There are none until it is known how
// many can share the targets.
func active(nodes []Node, most int) []Node {
	byZone := make(map[string][]Node)
	var zones []string
	for _, n := range nodes {
		if n.Phase != Serving {
			continue
		}
		if byZone[n.Zone] == nil {
			zones = append(zones, n.Zone)
		}
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	slices.Sort(zones)
	perZone := (min(most, len(nodes)) + len(zones) - 1) / max(len(zones), 1)
	var chosen []Node
	for _, zone := range zones {
		all := byZone[zone]
		slices.SortFunc(all, func(a, b Node) int { return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.ID, b.ID)) })
		for i, n := range all[:min(len(all), perZone)] {
			if i < leastPerZone || n.Power >= weakPart*all[0].Power {
				chosen = append(chosen, n)
			}
		}
	}
	return chosen
}

// Addresses returns the VMs that a caller should connect to: those of its own
// zone, or others when none serves there.
func (v *View) Addresses(zone, region string) []string {
	for _, near := range []func(Node) bool{
		func(n Node) bool { return n.Zone == zone },
		func(n Node) bool { return n.Region == region },
		func(Node) bool { return true },
	} {
		var addresses []string
		for _, n := range v.Active {
			if near(n) {
				addresses = append(addresses, n.Front)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
