package quota_test

import (
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

// A VM admits requests within its floor and a granted share. When the share
// expires, its part of the burst is lost.
func ExampleBucket() {
	now := time.Unix(0, 0)
	w := &config.Workspace{Name: "league", Rate: 400, Burst: 200}
	f := &config.Fleet{MaxVMs: 8, FloorFraction: 0.25}
	bucket := quota.NewBucket(now)
	bucket.SetLimit(now, quota.Floor(w, f), fleet.RateShare{Workspace: "league", RatePerSecond: 100, Burst: 50, Expires: now.Add(5 * time.Second)})
	count := func(at time.Duration) int {
		n := 0
		for bucket.Take(now.Add(at)) == 0 {
			n++
		}
		return n
	}
	fmt.Println("fresh:", count(0))
	fmt.Println("after 4 s:", count(4*time.Second))
	fmt.Println("after the share expired:", count(8*time.Second))
	// Output:
	// fresh: 0
	// after 4 s: 56
	// after the share expired: 6
}
