package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	minContactBackoff   = 500 * time.Millisecond // delay before an address that did not answer is tried again
	maxContactBackoff   = 8 * time.Second
	maxBackoffDoublings = 8 // keeps the shift of minContactBackoff from overflowing

	// listLag is how far the platform's list may lag. A list that was last read
	// longer ago counts as unreadable.
	listLag = time.Minute

	// contactRetention is how long unlisted addresses are kept while the list
	// cannot be read. Network partitions between regions last about an hour, and
	// addresses on the other side must be remembered for longer than that.
	contactRetention = 2 * time.Hour
)

// contacts holds the addresses at which VMs may be found: those in the platform's
// list and those of VMs that were live. The ids in the list name VMs, not
// incarnations, so entries are matched by peer URL.
type contacts struct {
	byAddress   map[string]*contact
	readAt      time.Time // when the list was last read; zero if never
	hasSelf     bool      // the list contains this VM
	selfLeaving bool      // the list says that this VM is leaving
}

// contact is what is known of one address.
type contact struct {
	VM
	listed   bool      // in the newest list
	leaving  bool      // leaving according to the list
	lastSeen time.Time // when the VM was last listed or live
	nextTry  time.Time // end of the backoff
	failures int       // since the last answer
}

// applyList applies the platform's list. It returns the addresses that the list
// says are leaving for the first time, and whether it says so of this VM. An
// address that is leaving already in the first list that contains it is not
// returned: the list lags, and the VM at the address may be a replacement, which
// announces its own state.
func (c *contacts) applyList(now time.Time, vms []VM, self string) (map[string]bool, bool) {
	leaving := make(map[string]bool)
	hadSelf, selfWasLeaving := c.hasSelf, c.selfLeaving
	c.hasSelf, c.selfLeaving = false, false
	for _, e := range c.byAddress {
		e.listed = false
	}
	for _, vm := range vms {
		if vm.PeerURL == self {
			c.hasSelf, c.selfLeaving = true, vm.State == Leaving
			continue
		}
		e, known := c.byAddress[vm.PeerURL]
		if !known {
			e = &contact{}
			c.byAddress[vm.PeerURL] = e
		}
		if known && vm.State == Leaving && !e.leaving {
			leaving[vm.PeerURL] = true
		}
		e.VM, e.listed, e.leaving, e.lastSeen = vm, true, vm.State == Leaving, now
	}
	c.readAt = now
	return leaving, hadSelf && !selfWasLeaving && c.selfLeaving
}

// recordContact records that a VM answers at its address and ends its backoff.
func (c *contacts) recordContact(now time.Time, vm VM) {
	c.remember(now, vm)
	e := c.byAddress[vm.PeerURL]
	e.failures, e.nextTry = 0, time.Time{}
}

// remember records that a VM was live.
func (c *contacts) remember(now time.Time, vm VM) {
	e, ok := c.byAddress[vm.PeerURL]
	if !ok {
		e = &contact{VM: vm}
		c.byAddress[vm.PeerURL] = e
	}
	if now.After(e.lastSeen) {
		e.lastSeen = now
	}
}

// recordFailure records that an address did not answer and doubles its backoff.
func (c *contacts) recordFailure(now time.Time, address string) {
	if e, ok := c.byAddress[address]; ok {
		e.nextTry = now.Add(min(minContactBackoff<<min(e.failures, maxBackoffDoublings), maxContactBackoff))
		e.failures++
	}
}

// unreachable returns the VMs at addresses that are not in live and whose backoff
// has passed.
func (c *contacts) unreachable(now time.Time, live map[string]bool) []VM {
	var unreachable []VM
	for address, e := range c.byAddress {
		if !live[address] && !now.Before(e.nextTry) {
			unreachable = append(unreachable, e.VM)
		}
	}
	sortVMs(unreachable)
	return unreachable
}

// missing returns the VMs at addresses that are not in live although they should
// be: those in the list and, while the list is older than listLag, all others that
// are remembered.
func (c *contacts) missing(now time.Time, live map[string]bool) []VM {
	listStale := c.readAt.IsZero() || now.Sub(c.readAt) >= listLag
	var missing []VM
	for address, e := range c.byAddress {
		if !live[address] && (e.listed || listStale) {
			missing = append(missing, e.VM)
		}
	}
	sortVMs(missing)
	return missing
}

// sortVMs sorts by id, and by address because the list may have duplicate names.
func sortVMs(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.PeerURL, b.PeerURL)) })
}

// expire removes unlisted addresses: after listLag while the list is read, because
// it would contain them, otherwise after contactRetention.
func (c *contacts) expire(now time.Time) {
	keep := contactRetention
	if !c.readAt.IsZero() && now.Sub(c.readAt) < listLag {
		keep = listLag
	}
	maps.DeleteFunc(c.byAddress, func(_ string, e *contact) bool { return !e.listed && now.Sub(e.lastSeen) > keep })
}
