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

// takeAll takes tokens until none is left and returns how many it took.
func takeAll(b *quota.Bucket, now time.Time) int {
	n := 0
	for b.Take(now) == 0 {
		n++
	}
	return n
}

// Guards against a restarted VM that starts with a burst of tokens.
func TestNewBucketIsEmpty(t *testing.T) {
	b := quota.NewBucket(epoch)
	b.SetLimit(epoch, quota.Limit{RatePerSecond: 10, Burst: 5}, fleet.RateShare{})
	assert.Equal(t, takeAll(b, epoch), 0)
	assert.Equal(t, takeAll(b, epoch.Add(time.Second)), 5)
}

// Guards against tokens that remain when the share they belong to expires, tested
// to the nanosecond, or shrinks.
func TestExpiredShareLosesItsBurst(t *testing.T) {
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
			assert.Equal(t, takeAll(b, epoch.Add(tc.at)), tc.want)
		})
	}
	b := quota.NewBucket(epoch)
	b.SetLimit(epoch, floor, share)
	b.SetLimit(epoch.Add(4*time.Second), floor, fleet.RateShare{RatePerSecond: 1, Burst: 1, Expires: share.Expires})
	assert.Equal(t, takeAll(b, epoch.Add(4*time.Second)), 3)
}

// Guards against returned waits that end before a token has accrued, or never.
func TestTakeReturnsTheWait(t *testing.T) {
	b := quota.NewBucket(epoch)
	b.SetLimit(epoch, quota.Limit{RatePerSecond: 4, Burst: 1}, fleet.RateShare{})
	wait := b.Take(epoch)
	assert.Assert(t, wait > 250*time.Millisecond && wait < 260*time.Millisecond, "%v", wait)
	assert.Equal(t, b.Take(epoch.Add(wait+time.Microsecond)), time.Duration(0))
	b.SetLimit(epoch, quota.Limit{RatePerSecond: 4, Burst: 0.5}, fleet.RateShare{})
	assert.Equal(t, b.Take(epoch.Add(time.Minute)), time.Second)
}

// Guards against a floor that can never admit a request, and against floors and
// divisible parts that add up to more than the limit, also while VMs have
// different revisions of the configuration.
func TestDivide(t *testing.T) {
	for _, floor := range []float64{0, 0.25, 0.5, 0.75, 1} {
		f := &config.Fleet{MaxVMs: 8, FloorFraction: floor}
		var lastDivisible, lastFloor float64
		for burst := 1.0; burst < 100; burst++ {
			d := quota.Divide(&config.Workspace{Rate: 100, Burst: burst}, f)
			assert.Assert(t, d.Divisible.Burst+8*d.Floor.Burst <= burst+1e-9, "floor %v burst %v: %+v", floor, burst, d)
			assert.Assert(t, d.Divisible.RatePerSecond+8*d.Floor.RatePerSecond <= 100+1e-9)
			assert.Assert(t, d.Floor.Burst == 0 || d.Floor.Burst >= 1)
			assert.Assert(t, d.Divisible.Burst >= lastDivisible-1e-9 && d.Floor.Burst >= lastFloor, "floor %v burst %v: %+v", floor, burst, d)
			lastDivisible, lastFloor = d.Divisible.Burst, d.Floor.Burst
			if floor > 0 && burst >= 16 {
				assert.Assert(t, d.Floor.Burst >= 1, "floor %v burst %v: %+v", floor, burst, d)
			}
		}
	}
}
