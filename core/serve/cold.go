package serve

import "time"

const (
	coldRateUsed = 0.9 // fraction of a cold target's rate that is used, as VMs don't see each other's requests
	coldBurst    = 1.0 // tokens that one VM can accumulate
)

// coldLimiter is a token bucket for the requests of this VM to a cold target.
// The zero value sets no limit.
type coldLimiter struct {
	perSecond  float64
	until      time.Time
	tokens     float64
	refilledAt time.Time
}

// start limits a target that is cold until the given time. perSecond is the
// rate of all VMs together, of which this one gets an equal part.
func (c *coldLimiter) start(now, until time.Time, perSecond float64, vms int) {
	*c = coldLimiter{perSecond: perSecond * coldRateUsed / float64(vms), until: until, refilledAt: now}
}

// allows reports whether the target may get a request now.
func (c *coldLimiter) allows(now time.Time) bool {
	if c.perSecond <= 0 || !now.Before(c.until) {
		return true
	}
	c.tokens = min(c.tokens+c.perSecond*now.Sub(c.refilledAt).Seconds(), coldBurst)
	c.refilledAt = now
	return c.tokens >= 1
}

// take takes the token of one request.
func (c *coldLimiter) take(now time.Time) {
	if c.perSecond > 0 && now.Before(c.until) {
		c.tokens--
	}
}
