package fleet

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
)

const (
	// tokensPerVM is the minimum burst, in requests, and the minimum rate, in
	// requests per second, for each VM when a workspace is spread over several.
	// With a burst of only a few tokens a VM refuses requests that arrive close
	// together although the workspace is within its rate.
	tokensPerVM = 25

	// maxRatePerVM is the rate, in requests per second, for which a workspace gets
	// one VM each regardless of its burst, so that no single VM carries a large
	// workspace.
	maxRatePerVM = 100

	// minAddresses lets a caller fail over to a VM in another availability zone.
	minAddresses = 2
)

// startingTTL is how long callers may cache an address list made while VMs are
// starting. The first VMs to serve must not carry all callers for a whole
// address_ttl.
const startingTTL = time.Second

// Address is a VM to which callers may send requests.
type Address struct {
	VM
	Spare bool // to be used only when no other address answers
}

// AddressesFor returns the VMs that a caller with the given key should use. A
// workspace with a low rate gets few VMs, so that its tokens are not divided
// between many. Without a key, or with an unknown one, it returns all VMs.
func (v *View) AddressesFor(key config.KeyHash, hasKey bool) []Address {
	if hasKey {
		if w, ok := v.Config.WorkspaceByKey(key); ok {
			return WorkspaceAddresses(v.Addresses, w)
		}
	}
	return withSpares(v.Addresses, len(v.Addresses))
}

// AddressTTL returns how long callers may cache the addresses.
func (v *View) AddressTTL() time.Duration {
	ttl := v.Config.Fleet.AddressTTL
	if slices.ContainsFunc(v.VMs, func(vm VM) bool { return vm.State == Starting }) {
		return min(ttl, startingTTL)
	}
	return ttl
}

// WorkspaceAddresses returns the VMs out of vms that callers of a workspace should
// use. If the workspace needs all of them, none is a spare.
func WorkspaceAddresses(vms []VM, w *config.Workspace) []Address {
	primaryCount := primaryVMCount(w)
	if primaryCount >= len(vms) {
		return withSpares(vms, len(vms))
	}
	return withSpares(rendezvousVMs(max(primaryCount, minAddresses), w.Name, vms), primaryCount)
}

// primaryVMCount returns how many VMs the callers of a workspace use while all of them
// answer.
func primaryVMCount(w *config.Workspace) int {
	return max(1, int(min(w.Rate, w.Burst)/tokensPerVM), int(w.Rate/maxRatePerVM))
}

// withSpares returns the addresses of vms and marks those after the first
// primaryCount as spares.
func withSpares(vms []VM, primaryCount int) []Address {
	out := make([]Address, len(vms))
	for i, vm := range vms {
		out[i] = Address{VM: vm, Spare: i >= primaryCount}
	}
	return out
}

// rendezvousVMs returns n VMs chosen by rendezvous hashing, spread evenly over the
// availability zones. A VM that joins or leaves changes the result only if it is,
// or becomes, part of it.
func rendezvousVMs(n int, workspace string, vms []VM) []VM {
	type candidate struct {
		score  uint64
		zone   int
		chosen bool
	}
	zones := make(map[string]int)
	all := make([]candidate, len(vms))
	seed := fnv1a(workspace)
	for i := range vms {
		zone, ok := zones[vms[i].Zone]
		if !ok {
			zone = len(zones)
			zones[vms[i].Zone] = zone
		}
		all[i] = candidate{score: mix64(seed ^ fnv1a(string(vms[i].ID))), zone: zone}
	}
	chosenPerZone := make([]int, len(zones)) // number of VMs chosen from each zone
	chosen := make([]VM, 0, n)
	for range min(n, len(vms)) {
		best := -1
		for i := range all {
			c := &all[i]
			if c.chosen {
				continue
			}
			if best < 0 || chosenPerZone[c.zone] < chosenPerZone[all[best].zone] || chosenPerZone[c.zone] == chosenPerZone[all[best].zone] && c.score > all[best].score {
				best = i
			}
		}
		all[best].chosen = true
		chosenPerZone[all[best].zone]++
		chosen = append(chosen, vms[best])
	}
	return chosen
}

// fnv1a returns the 64-bit FNV-1a hash of s. It does not use hash/fnv, which
// would copy the string.
func fnv1a(s string) uint64 {
	const offset, prime = 0xcbf29ce484222325, 0x100000001b3
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}

// mix64 is the finalizer of SplitMix64; it spreads the bits of a hash.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
