package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	firstContactWait = 500 * time.Millisecond // between two tries of an address that does not answer
	maxContactWait   = 8 * time.Second
	maxContactShift  = 8 // doublings of the wait
	listLag          = time.Minute
	// Partitions between regions last about an hour; addresses beyond one must
	// be remembered for longer when the list cannot be read.
	rememberContact = 2 * time.Hour
)

// contacts are the addresses at which VMs may be found: those of the list, and
// those of VMs that were live. The ids in the list are names of VMs, not of
// incarnations, so entries are matched by peer URL.
type contacts struct {
	byAddress   map[string]*contact
	readAt      time.Time
	hasSelf     bool // the list names this VM
	selfLeaving bool
}

type contact struct {
	VM
	listed   bool
	leaving  bool // as the list says
	seen     time.Time
	next     time.Time // not tried before
	failures int
}

// listRead returns the addresses that the list newly calls leaving, and
// whether that holds for this VM. An address that is leaving in the first list
// that names it is not marked: the list lags, and the VM at the address may be
// a replacement, which announces its own state.
func (c *contacts) listRead(now time.Time, vms []VM, self string) (map[string]bool, bool) {
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
		e.VM, e.listed, e.leaving, e.seen = vm, true, vm.State == Leaving, now
	}
	c.readAt = now
	return leaving, hadSelf && !selfWasLeaving && c.selfLeaving
}

// heard notes that a VM answers at its address.
func (c *contacts) heard(now time.Time, vm VM) {
	c.remember(now, vm)
	e := c.byAddress[vm.PeerURL]
	e.failures, e.next = 0, time.Time{}
}

// remember notes that a VM was live.
func (c *contacts) remember(now time.Time, vm VM) {
	e, ok := c.byAddress[vm.PeerURL]
	if !ok {
		e = &contact{VM: vm}
		c.byAddress[vm.PeerURL] = e
	}
	if now.After(e.seen) {
		e.seen = now
	}
}

func (c *contacts) failed(now time.Time, address string) {
	if e, ok := c.byAddress[address]; ok {
		e.next = now.Add(min(firstContactWait<<min(e.failures, maxContactShift), maxContactWait))
		e.failures++
	}
}

func (c *contacts) silent(now time.Time, live map[string]bool) []VM {
	var silent []VM
	for address, e := range c.byAddress {
		if !live[address] && !now.Before(e.next) {
			silent = append(silent, e.VM)
		}
	}
	sortVMs(silent)
	return silent
}

// missing returns the addresses at which a VM ought to be live and none is:
// those of the list and, while the list is not being read, those of VMs that
// were live.
func (c *contacts) missing(now time.Time, live map[string]bool) []VM {
	unread := c.readAt.IsZero() || now.Sub(c.readAt) >= listLag
	var missing []VM
	for address, e := range c.byAddress {
		if !live[address] && (e.listed || unread) {
			missing = append(missing, e.VM)
		}
	}
	sortVMs(missing)
	return missing
}

// sortVMs sorts by id; names of the list may be doubled.
func sortVMs(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.PeerURL, b.PeerURL)) })
}

// forget drops unlisted addresses: soon when the list is being read, as it
// would name them, otherwise after a partition's time.
func (c *contacts) forget(now time.Time) {
	keep := rememberContact
	if !c.readAt.IsZero() && now.Sub(c.readAt) < listLag {
		keep = listLag
	}
	maps.DeleteFunc(c.byAddress, func(_ string, e *contact) bool { return !e.listed && now.Sub(e.seen) > keep })
}
