package config_test

import (
	"fmt"

	"github.com/anvilfork/anvilfork/core/config"
)

const exampleText = `revision = %d
[fleet]
max_vms = 8
[[zone]]
name = "a"
[[service]]
name = "stock"
partition_map = 1
slots = 2
connections = 25
[[service.group]]
name = "g0"
targets = [{address = "192.0.2.1:9000", zone = "a"}]
`

// The newest accepted text wins for good, in whatever order texts arrive.
func ExampleRevisionTracker() {
	var order config.RevisionTracker
	for _, revision := range []int{2, 1, 3} {
		changed, err := order.Offer(fmt.Appendf(nil, exampleText, revision))
		fmt.Println(revision, changed, err)
	}
	// Output:
	// 2 true <nil>
	// 1 false revision 1 is older than the accepted revision 2
	// 3 true <nil>
}
