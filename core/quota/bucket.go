// Package quota limits the requests of one workspace on one VM. It divides the
// workspace's limit into a guaranteed floor per VM and a part that the coordinator
// divides, and admits requests by a token bucket whose limit is the floor plus
// the granted share. It is given the time with every call.
package quota

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// accrualFraction is the fraction of the rate at which tokens accrue. A clock may
// run 0.5% fast; without the margin a fleet of such clocks would exceed the rate.
const accrualFraction = 0.995

// Bucket is a token bucket. It starts empty, so that a restarted VM does not add
// a burst. The sum of the tokens of all VMs stays below the burst, because a share
// that moves or expires removes its part of the burst from the old holder, and
// that part starts empty at the new holder.
type Bucket struct {
	floor        Limit
	share        fleet.RateShare
	tokens       float64
	accruedUntil time.Time // time up to which tokens have accrued
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time) *Bucket { return &Bucket{accruedUntil: now} }

// SetLimit sets the VM's floor and its granted share. Tokens beyond the new burst
// are lost.
func (b *Bucket) SetLimit(now time.Time, floor Limit, share fleet.RateShare) {
	b.accrue(now)
	b.floor, b.share = floor, share
	b.tokens = min(b.tokens, b.limit(now).Burst)
}

// Take spends one token and returns zero, or returns the time until one
// accrues. The calling code reads the clock immediately before, because the VM
// may have been paused since an earlier reading.
func (b *Bucket) Take(now time.Time) time.Duration {
	b.accrue(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return max(b.TimeUntil(now, 1), 1)
}

// SetFill sets the tokens to the given fraction of the burst.
func (b *Bucket) SetFill(now time.Time, fraction float64) {
	b.accrue(now)
	b.tokens = fraction * b.limit(now).Burst
}

// Return gives back the token of a request that was not run.
func (b *Bucket) Return() { b.tokens++ }

// noTokenWait is the wait that callers get for a bucket that accrues no tokens.
const noTokenWait = time.Second

// TimeUntil returns how long it takes until the n-th token from now is available.
// Tokens in the bucket count, and so do those that are taken in the meantime. It
// returns noTokenWait if the bucket accrues no tokens.
func (b *Bucket) TimeUntil(now time.Time, n float64) time.Duration {
	b.accrue(now)
	l := b.limit(now)
	if l.RatePerSecond <= 0 || l.Burst < minBurst {
		return noTokenWait
	}
	// Rounded up, because a caller that returns a nanosecond early finds no token.
	return max(time.Duration((n-b.tokens)/(l.RatePerSecond*accrualFraction)*float64(time.Second))+1, 0)
}

// limit returns the floor, plus the share while it is valid.
func (b *Bucket) limit(now time.Time) Limit {
	l := b.floor
	if now.Before(b.share.Expires) {
		l.RatePerSecond += b.share.RatePerSecond
		l.Burst += b.share.Burst
	}
	return l
}

// accrue adds the tokens up to now. A share that expired in between counts until
// its expiry, when its part of the burst is lost.
func (b *Bucket) accrue(now time.Time) {
	if end := b.share.Expires; !end.IsZero() && !end.After(now) {
		b.add(end, Limit{b.floor.RatePerSecond + b.share.RatePerSecond, b.floor.Burst + b.share.Burst})
		b.share = fleet.RateShare{}
		b.tokens = min(b.tokens, b.floor.Burst)
	}
	b.add(now, b.limit(now))
}

// add accrues tokens up to until under the limit l.
func (b *Bucket) add(until time.Time, l Limit) {
	if !until.After(b.accruedUntil) {
		return
	}
	b.tokens = min(b.tokens+l.RatePerSecond*accrualFraction*until.Sub(b.accruedUntil).Seconds(), l.Burst)
	b.accruedUntil = until
}
