package config_test

import (
	"fmt"

	"github.com/anvilfork/anvilfork/core/config"
)

const exampleDocument = `revision = %d
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

// The newest accepted document stays in force, in whatever order documents arrive.
func ExampleRevisionTracker() {
	var tracker config.RevisionTracker
	for _, revision := range []int{2, 1, 3} {
		changed, err := tracker.Offer(fmt.Appendf(nil, exampleDocument, revision))
		fmt.Println(revision, changed, err)
	}
	// Output:
	// 2 true <nil>
	// 1 false revision 1 is older than the accepted revision 2
	// 3 true <nil>
}
