package once_test

import (
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/once"
)

// A caller sends the same request to two VMs; only the first claim is granted.
func ExampleLedger() {
	now := time.Unix(1_000_000, 0)
	id := fleet.NewRequestID(now, [10]byte{9: 5})
	ledger := once.NewLedger()
	ledger.SetRanges([]fleet.RangeShare{{Range: id.Range(), Since: now.Add(-time.Hour), Expires: now.Add(time.Minute)}})
	first, second := once.Claimer{VM: "a", Query: 1}, once.Claimer{VM: "b", Query: 1}
	fmt.Println(ledger.Claim(now, first, id) == nil)
	fmt.Println(ledger.Claim(now, second, id).Outcome)
	ledger.Settle(first, id, "")
	fmt.Println(ledger.Claim(now, second, id).Outcome)
	// Output:
	// true
	// outcome_unknown
	// ran_answer_lost
}
