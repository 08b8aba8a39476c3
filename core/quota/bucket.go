// Package quota limits one workspace on one VM: a token bucket whose rate is
// the VM's guaranteed floor plus the share granted by the coordinator.
package quota

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// accrual is the part of the rate at which tokens accrue. A clock may run 0.5%
// fast; without the margin a fleet of such clocks would exceed the rate.
const accrual = 0.995

// Bucket is a token bucket. It starts empty, so that a restarted VM never
// brings a burst of its own. The sum of the tokens of all VMs stays below the
// burst, because a share that moves or expires takes its part of the burst away
// from the old holder and the new holder starts that part empty.
type Bucket struct {
	floor  Limit
	share  fleet.RateShare
	tokens float64
	at     time.Time // time up to which tokens have accrued
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time) *Bucket { return &Bucket{at: now} }

// SetLimit gives the bucket its floor and its granted share.
func (b *Bucket) SetLimit(now time.Time, floor Limit, share fleet.RateShare) {
	b.accrue(now)
	b.floor, b.share = floor, share
	b.tokens = min(b.tokens, b.limit(now).Burst)
}

// Take spends one token and returns zero, or returns the time until one
// accrues. The caller reads the clock right before, because a VM may have been
// paused since it looked last.
func (b *Bucket) Take(now time.Time) time.Duration {
	b.accrue(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return max(b.TimeUntil(now, 1), 1)
}

// SetFill sets the tokens to a part of the burst.
func (b *Bucket) SetFill(now time.Time, part float64) {
	b.accrue(now)
	b.tokens = part * b.limit(now).Burst
}

// Return gives back the token of a request that was not run after all.
func (b *Bucket) Return() { b.tokens++ }

// noToken is how long a caller is told to wait for a bucket that gets no tokens.
const noToken = time.Second

// TimeUntil returns how long it takes until n tokens have accrued, counting those
// that are taken meanwhile.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	b.accrue(now)
	l := b.limit(now)
	if l.RatePerSecond <= 0 || l.Burst < minBurst {
		return noToken
	}
	// Rounded up: a caller that comes back a nanosecond early would find no token.
	return max(time.Duration((n-b.tokens)/(l.RatePerSecond*accrual)*float64(time.Second))+1, 0)
}

func (b *Bucket) limit(now time.Time) Limit {
	l := b.floor
	if now.Before(b.share.Expires) {
		l.RatePerSecond += b.share.RatePerSecond
		l.Burst += b.share.Burst
	}
	return l
}

// accrue adds tokens up to now. A share that expired on the way counts only
// until its expiry, and its part of the burst is lost then.
func (b *Bucket) accrue(now time.Time) {
	if end := b.share.Expires; !end.IsZero() && !end.After(now) {
		b.add(end, Limit{b.floor.RatePerSecond + b.share.RatePerSecond, b.floor.Burst + b.share.Burst})
		b.share = fleet.RateShare{}
		b.tokens = min(b.tokens, b.floor.Burst)
	}
	b.add(now, b.limit(now))
}

func (b *Bucket) add(until time.Time, l Limit) {
	if !until.After(b.at) {
		return
	}
	b.tokens = min(b.tokens+l.RatePerSecond*accrual*until.Sub(b.at).Seconds(), l.Burst)
	b.at = until
}
