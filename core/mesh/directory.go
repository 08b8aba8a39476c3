package mesh

import (
	"cmp"
	"math"
	"slices"
)

// minActive is the minimum number of VMs that callers are sent to, if the fleet
// has that many, so that the loss of one affects only a small part of the
// callers.
const minActive = 8

const (
	// minRelativePower is the fraction of the power of its zone's strongest VM
	// below which a VM gets no callers. Callers choose VMs at random, so that a
	// weak VM would get as many as a strong one and take several times as long.
	minRelativePower = 0.5
	// minActivePerZone is the number of VMs of a zone that get callers even if they
	// are weak, so that one may fail.
	minActivePerZone = 2
)

// MaxActiveFor returns the maximum number of active VMs, which are those that
// callers are sent to: one for every connsPerVM connections that a target accepts,
// so that each VM has enough of them for the requests of its callers, but at least
// minActive.
func MaxActiveFor(maxConnections int) int {
	const connsPerVM = 6
	if maxConnections <= 0 {
		return math.MaxInt // the targets set no limit
	}
	return max(maxConnections/connsPerVM, minActive)
}

// selectActive returns the VMs that callers are sent to: the same maximum number
// in each zone, the strongest first, and weak ones only where others are lacking.
// The result depends only on the arguments, so that all VMs select the same. It
// is empty while maxVMs is zero, that is until it is known how many VMs can share
// the targets.
func selectActive(nodes []Node, maxVMs int) []Node {
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
	perZone := (min(maxVMs, len(nodes)) + len(zones) - 1) / max(len(zones), 1)
	var chosen []Node
	for _, zone := range zones {
		inZone := byZone[zone]
		slices.SortFunc(inZone, func(a, b Node) int { return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.ID, b.ID)) })
		for i, n := range inZone[:min(len(inZone), perZone)] {
			if i < minActivePerZone || n.Power >= minRelativePower*inZone[0].Power {
				chosen = append(chosen, n)
			}
		}
	}
	return chosen
}

// Addresses returns the front addresses that a caller should connect to: those
// of active VMs in its zone, else in its region, else anywhere.
func (v *View) Addresses(zone, region string) []string {
	for _, matches := range []func(Node) bool{
		func(n Node) bool { return n.Zone == zone },
		func(n Node) bool { return n.Region == region },
		func(Node) bool { return true },
	} {
		var addresses []string
		for _, n := range v.Active {
			if matches(n) {
				addresses = append(addresses, n.Front)
			}
		}
		if len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}
