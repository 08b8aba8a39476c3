package serve

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
)

// Guards against decisions that can't be repeated, as they follow the order of a map, and
// against VMs that all prefer the same ones of equal targets.
func TestOrderOfTargetsIsRepeatableAndDiffersBetweenVMs(t *testing.T) {
	entries := make(map[string]*catalog.Target)
	for i := range 46 {
		id := fmt.Sprint(i)
		entries[id] = &catalog.Target{ID: id, Service: "single", Address: id, Zone: "z0", Slots: 2}
	}
	firsts := make(map[string]int)
	for vm := range 98 {
		var orders [2][]string
		for i := range orders {
			e := NewEngine(epoch, testSettings)
			e.Step(epoch, FleetChanged{View: &mesh.View{Self: mesh.Node{ID: fleet.VMID(fmt.Sprintf("vm%03d", vm))}}})
			e.Step(epoch, CatalogChanged{Config: testConfig(1, testRoutes(), 0), Targets: entries})
			for _, tg := range e.services["single"].targets {
				orders[i] = append(orders[i], tg.reg.ID)
			}
		}
		assert.Assert(t, slices.Equal(orders[0], orders[1]), "%v", orders)
		for _, id := range orders[0][:poolSpareTargets] {
			firsts[id]++
		}
	}
	for id := range entries { // the mean is 17
		assert.Assert(t, firsts[id] >= 5 && firsts[id] <= 34, "%s is among the first of %d VMs", id, firsts[id])
	}
}
