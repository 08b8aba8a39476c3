// Package budget paces the calls of one VM to the configuration service, so
// that all VMs together keep to the service's limit. It also backs off while the
// service fails.
package budget

import (
	"math"
	"time"

	"github.com/anvilfork/anvilfork/core/random"
)

const (
	fleetCallsPerSecond   = 1500 // target rate of all VMs together
	serviceCallsPerSecond = 2000 // limit of the service
	unknownMaxVMs         = 1000 // assumed until a document states max_vms; fleets are expected to have at most 560 VMs

	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	maxDoublings   = 10 // bounds the shift; maxBackoff is reached after 4
)

// Pacer permits one call in each spacing: it is a token bucket of one token. See
// Spacing for calls of different VMs that coincide.
type Pacer struct {
	random      random.Source
	spacing     time.Duration
	nextTokenAt time.Time // when the next token is available
	retryAt     time.Time // end of the backoff after a failure
	failures    int
}

// New returns a Pacer that permits a call at once and assumes unknownMaxVMs.
func New(r random.Source) *Pacer {
	return &Pacer{random: r, spacing: Spacing(unknownMaxVMs)}
}

// Spacing returns the minimum time between two calls of one VM in a fleet of at
// most maxVMs, which must be positive. A VM makes at most ceil(1s/spacing)
// calls in any second; the spacing is rounded up so that all VMs together do
// not exceed the service's limit even if their calls coincide. With more than
// serviceCallsPerSecond VMs it bounds only the average rate: calls that coincide
// may exceed the limit.
func Spacing(maxVMs int) time.Duration {
	spacing := time.Duration(maxVMs) * time.Second / fleetCallsPerSecond
	if perVM := serviceCallsPerSecond / maxVMs; perVM > 0 {
		spacing = max(spacing, time.Second/time.Duration(perVM)+1)
	}
	return spacing
}

// SetMaxVMs sets the size of the fleet that the document in force permits, and
// moves the next call by the change in spacing.
func (p *Pacer) SetMaxVMs(maxVMs int) {
	spacing := Spacing(maxVMs)
	if spacing == p.spacing {
		return
	}
	if !p.nextTokenAt.IsZero() {
		p.nextTokenAt = p.nextTokenAt.Add(spacing - p.spacing)
	}
	p.spacing = spacing
}

// Due returns the earliest time of the next call.
func (p *Pacer) Due() time.Time {
	if p.retryAt.After(p.nextTokenAt) {
		return p.retryAt
	}
	return p.nextTokenAt
}

// Take reports whether a call may be made now, and takes the token if so.
func (p *Pacer) Take(now time.Time) bool {
	if now.Before(p.Due()) {
		return false
	}
	p.nextTokenAt = now.Add(p.spacing)
	return true
}

// Answered resets the backoff after a successful call.
func (p *Pacer) Answered() { p.failures = 0 }

// Failed starts a backoff that doubles with each consecutive failure up to
// maxBackoff. The jitter keeps VMs that failed together from retrying together.
func (p *Pacer) Failed(now time.Time) {
	wait := initialBackoff << min(p.failures, maxDoublings)
	wait = min(wait, maxBackoff)
	p.failures++
	jitter := 0.5 + p.random.Float64()
	p.retryAt = now.Add(time.Duration(math.Round(float64(wait) * jitter)))
}
