package quota_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/quota"
)

// Guards against an infinite rate, or one above the limit, where no tolerance is set.
func TestLimitsWithoutATolerance(t *testing.T) {
	limit := quota.Limit{RatePerSecond: 10, Burst: 20}
	var none quota.Tolerance
	fleet, pool := none.FleetLimit(limit), none.PoolLimit(limit)
	for _, l := range []quota.Limit{fleet, pool} {
		assert.Assert(t, !math.IsInf(l.RatePerSecond, 0) && !math.IsNaN(l.RatePerSecond), "%+v", l)
	}
	assert.Equal(t, fleet.RatePerSecond, limit.RatePerSecond)
	inWindow := fleet.RatePerSecond*5 + fleet.Burst + pool.RatePerSecond*5 + pool.Burst
	assert.Assert(t, inWindow <= limit.RatePerSecond*5+limit.Burst, "%v requests in 5 s", inWindow)
}
