package lease_test

import (
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

// In a fleet of three VMs, two votes elect a coordinator until they expire.
func Example() {
	start := time.Unix(0, 0)
	now := start.Add(10 * time.Second) // a VM that has just started gives no vote for about 3 s
	candidate := lease.NewCandidate(start, "a")
	candidate.SetMaxVMs(now, 3)
	for _, id := range []fleet.VMID{"a", "b"} {
		voter := lease.NewVoter(start)
		voter.RecordStamp(now, "a", candidate.Stamp(now)) // the stamp arrived in a reply of the candidate
		candidate.CountVote(now, id, voter.Ballot(now, "a"))
	}
	fmt.Println(candidate.Leadership(now).Fraction)
	fmt.Println(candidate.Leadership(now.Add(lease.VoteTTL)).Fraction)
	// Output:
	// 1
	// 0
}
