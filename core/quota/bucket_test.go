package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

var epoch = time.Unix(1_000_000_000, 0)

func taken(b *quota.Bucket, now time.Time) int {
	n := 0
	for b.Take(now) == 0 {
		n++
	}
	return n
}

// Guards against a restarted VM that brings a burst of its own.
func TestFreshBucketIsEmpty(t *testing.T) {
	b := quota.NewBucket(epoch)
	b.SetLimit(epoch, quota.Limit{RatePerSecond: 10, Burst: 5}, fleet.RateShare{})
	assert.Equal(t, taken(b, epoch), 0)
	assert.Equal(t, taken(b, epoch.Add(time.Second)), 5)
}

// Guards against tokens that survive the share they belong to: at its expiry,
// to the nanosecond, and when it shrinks.
func TestShareTakesItsBurstAway(t *testing.T) {
	floor := quota.Limit{RatePerSecond: 1, Burst: 2}
	share := fleet.RateShare{RatePerSecond: 10, Burst: 20, Expires: epoch.Add(5 * time.Second)}
	for _, tc := range []struct {
		name string
		at   time.Duration
		want int
	}{
		{"valid", 5*time.Second - 1, 22},
		{"expired at this moment", 5 * time.Second, 2},
		{"expired long ago", time.Hour, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := quota.NewBucket(epoch)
			b.SetLimit(epoch, floor, share)
			assert.Equal(t, taken(b, epoch.Add(tc.at)), tc.want)
		})
	}
	b := quota.NewBucket(epoch)
	b.SetLimit(epoch, floor, share)
	b.SetLimit(epoch.Add(4*time.Second), floor, fleet.RateShare{RatePerSecond: 1, Burst: 1, Expires: share.Expires})
	assert.Equal(t, taken(b, epoch.Add(4*time.Second)), 3)
}

// Guards against waits that end before a token has accrued, or that never end.
func TestTakeReturnsTheWait(t *testing.T) {
	b := quota.NewBucket(epoch)
	b.SetLimit(epoch, quota.Limit{RatePerSecond: 4, Burst: 1}, fleet.RateShare{})
	wait := b.Take(epoch)
	assert.Assert(t, wait > 250*time.Millisecond && wait < 260*time.Millisecond, "%v", wait)
	assert.Equal(t, b.Take(epoch.Add(wait+time.Microsecond)), time.Duration(0))
	b.SetLimit(epoch, quota.Limit{RatePerSecond: 4, Burst: 0.5}, fleet.RateShare{})
	assert.Equal(t, b.Take(epoch.Add(time.Minute)), time.Second)
}

// Guards against a floor that can never admit a request, and against parts that
// add up to more than the limit, also while VMs have different revisions.
func TestDivide(t *testing.T) {
	for _, floor := range []float64{0, 0.25, 0.5, 0.75, 1} {
		f := &config.Fleet{MaxVMs: 8, FloorFraction: floor}
		var restSoFar, floorSoFar float64
		for burst := 1.0; burst < 100; burst++ {
			d := quota.Divide(&config.Workspace{Rate: 100, Burst: burst}, f)
			assert.Assert(t, d.Divisible.Burst+8*d.Floor.Burst <= burst+1e-9, "floor %v burst %v: %+v", floor, burst, d)
			assert.Assert(t, d.Divisible.RatePerSecond+8*d.Floor.RatePerSecond <= 100+1e-9)
			assert.Assert(t, d.Floor.Burst == 0 || d.Floor.Burst >= 1)
			assert.Assert(t, d.Divisible.Burst >= restSoFar-1e-9 && d.Floor.Burst >= floorSoFar, "floor %v burst %v: %+v", floor, burst, d)
			restSoFar, floorSoFar = d.Divisible.Burst, d.Floor.Burst
			if floor > 0 && burst >= 16 {
				assert.Assert(t, d.Floor.Burst >= 1, "floor %v burst %v: %+v", floor, burst, d)
			}
		}
	}
}
