package fleet

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
)

const (
	// tokensPerVM is the burst, in requests, and the rate per second that each VM
	// gets when a workspace is spread over several. A VM with a burst of a few
	// tokens refuses requests that come close together inside the rate.
	tokensPerVM = 25

	// maxRatePerVM is the rate, in requests per second, above which a workspace
	// gets more VMs whatever its burst, so that no VM carries a large one alone.
	maxRatePerVM = 100

	// leastAddresses lets a caller change to another availability zone when its VM fails.
	leastAddresses = 2
)

// startingTTL is how long callers keep a list that was made while VMs started:
// the first VMs to serve must not carry all callers for the whole address_ttl.
const startingTTL = time.Second

// Address is a VM that callers may use.
type Address struct {
	VM
	Spare bool // to be used only when no other address answers
}

// AddressesFor returns the VMs that the bearer of a key is to use. A workspace
// with a small rate gets few, so that its tokens are not divided between many.
// Without a key, or with one that no workspace has, it returns all VMs.
func (v *View) AddressesFor(key config.KeyHash, hasKey bool) []Address {
	if hasKey {
		if w, ok := v.Config.WorkspaceByKey(key); ok {
			return WorkspaceAddresses(v.Addresses, w)
		}
	}
	return addresses(v.Addresses, len(v.Addresses))
}

// AddressTTL returns how long callers may keep the addresses.
func (v *View) AddressTTL() time.Duration {
	ttl := v.Config.Fleet.AddressTTL
	if slices.ContainsFunc(v.VMs, func(vm VM) bool { return vm.State == Starting }) {
		return min(ttl, startingTTL)
	}
	return ttl
}

// WorkspaceAddresses returns the addresses of a workspace among the given VMs. All are
// returned, none of them spare, where the workspace needs all.
func WorkspaceAddresses(vms []VM, w *config.Workspace) []Address {
	use := vmsFor(w)
	if use >= len(vms) {
		return addresses(vms, len(vms))
	}
	return addresses(first(max(use, leastAddresses), w.Name, vms), use)
}

// vmsFor returns how many VMs the callers of a workspace use while all answer.
func vmsFor(w *config.Workspace) int {
	return max(1, int(min(w.Rate, w.Burst)/tokensPerVM), int(w.Rate/maxRatePerVM))
}

// addresses makes all but the first few VMs spares.
func addresses(vms []VM, use int) []Address {
	out := make([]Address, len(vms))
	for i, vm := range vms {
		out[i] = Address{VM: vm, Spare: i >= use}
	}
	return out
}

// first returns the first n VMs by rendezvous hashing, from the availability
// zones in turn. A VM that comes or goes changes them only if it is one of them.
func first(n int, workspace string, vms []VM) []VM {
	type candidate struct {
		score uint64
		zone  int
		taken bool
	}
	zones := make(map[string]int)
	all := make([]candidate, len(vms))
	seed := hash(workspace)
	for i := range vms {
		zone, ok := zones[vms[i].Zone]
		if !ok {
			zone = len(zones)
			zones[vms[i].Zone] = zone
		}
		all[i] = candidate{score: mix(seed ^ hash(string(vms[i].ID))), zone: zone}
	}
	used := make([]int, len(zones)) // VMs taken of each zone
	chosen := make([]VM, 0, n)
	for range min(n, len(vms)) {
		best := -1
		for i := range all {
			c := &all[i]
			if c.taken {
				continue
			}
			if best < 0 || used[c.zone] < used[all[best].zone] || used[c.zone] == used[all[best].zone] && c.score > all[best].score {
				best = i
			}
		}
		all[best].taken = true
		used[all[best].zone]++
		chosen = append(chosen, vms[best])
	}
	return chosen
}

// hash is 64-bit FNV-1a, written out because hash/fnv copies the text.
func hash(text string) uint64 {
	const offset, prime = 0xcbf29ce484222325, 0x100000001b3
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	return h
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
