package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

func testVMs(n, zones int) []VM {
	vms := make([]VM, n)
	for i := range vms {
		vms[i] = VM{ID: VMID(fmt.Sprintf("vm%03d", i)), Zone: fmt.Sprint("z", i%zones), State: Live}
	}
	return vms
}

// Guards against a small workspace whose tokens are divided between many VMs, a
// large one that too few VMs serve, and callers without a VM in a second zone.
func TestWorkspaceAddresses(t *testing.T) {
	for _, tc := range []struct {
		rate, burst           float64
		vms, zones, use, list int
	}{
		{1, 1, 8, 3, 1, 2}, {10, 1000, 8, 3, 1, 2}, {40, 20, 8, 3, 1, 2}, {1000, 20, 20, 3, 10, 10},
		{60, 60, 8, 3, 2, 2}, {100, 100, 8, 4, 4, 4}, {400, 200, 8, 3, 8, 8}, {200, 200, 8, 3, 8, 8},
		{1, 1, 1, 1, 1, 1}, {1, 1, 2, 1, 1, 2}, {60, 60, 2, 2, 2, 2}, {1, 1, 0, 1, 0, 0}, {1, 1, 560, 4, 1, 2},
	} {
		list := WorkspaceAddresses(testVMs(tc.vms, tc.zones), &config.Workspace{Name: "w", Rate: tc.rate, Burst: tc.burst})
		use, zones := 0, make(map[string]bool)
		for _, a := range list {
			zones[a.Zone] = true
			if !a.Spare {
				use++
			}
		}
		got := []int{use, len(list), len(zones)}
		assert.DeepEqual(t, got, []int{tc.use, tc.list, min(tc.list, tc.zones, tc.vms)})
	}
}

// Guards against callers that change to other VMs, where their workspace has no
// tokens yet, because a VM that they do not use joins or leaves.
func TestWorkspaceAddressesAreStable(t *testing.T) {
	for i := range 100 {
		w := &config.Workspace{Name: fmt.Sprint("w", i), Rate: 75, Burst: 75}
		vms := testVMs(16, 4)
		before := WorkspaceAddresses(vms, w)
		chosen := map[VMID]bool{before[0].ID: true, before[1].ID: true, before[2].ID: true}
		for removed := range vms {
			if !chosen[vms[removed].ID] {
				remaining := append(append([]VM{}, vms[:removed]...), vms[removed+1:]...)
				assert.DeepEqual(t, WorkspaceAddresses(remaining, w), before)
			}
		}
	}
}

// Guards against callers that cache for long an address list made while VMs are
// starting.
func TestAddressTTL(t *testing.T) {
	v := &View{Config: &config.Config{Fleet: config.Fleet{AddressTTL: 5 * time.Second}}, VMs: testVMs(2, 1)}
	assert.Equal(t, v.AddressTTL(), 5*time.Second)
	v.VMs[1].State = Starting
	assert.Equal(t, v.AddressTTL(), time.Second)
}

// Measures the cost of one address list in a fleet of 560 VMs.
func BenchmarkWorkspaceAddresses(b *testing.B) {
	vms, w := testVMs(560, 8), &config.Workspace{Name: "w", Rate: 10, Burst: 10}
	for b.Loop() {
		WorkspaceAddresses(vms, w)
	}
}
