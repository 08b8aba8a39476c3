package mesh

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// Guards against a VM that gets as many callers as its neighbors although it has only
// a fifth of their power.
func TestWeakVMsAreActiveOnlyWhereOthersAreLacking(t *testing.T) {
	for _, c := range []struct {
		name   string
		powers []float64
		want   []string
	}{
		{"two strong ones", []float64{0.2, 0.8, 0.2, 0.8}, []string{"vm1", "vm3"}},
		{"equals", []float64{0.4, 0.4, 0.4, 0.4}, []string{"vm0", "vm1", "vm2"}},
		{"nearly equals", []float64{0.8, 0.5, 0.4, 0.3}, []string{"vm0", "vm1", "vm2"}},
		{"one strong one", []float64{0.2, 0.2, 0.8, 0.2}, []string{"vm2", "vm0"}},
		{"one alone", []float64{0.2}, []string{"vm0"}},
		{"power unknown", []float64{0, 0, 0, 0}, []string{"vm0", "vm1", "vm2"}},
	} {
		var nodes []Node
		for i, p := range c.powers {
			nodes = append(nodes, Node{ID: fleet.VMID(fmt.Sprintf("vm%d", i)), Zone: "z", Phase: Serving, Power: p})
		}
		var got []string
		for _, n := range selectActive(nodes, 3) {
			got = append(got, string(n.ID))
		}
		assert.DeepEqual(t, got, c.want)
	}
}
