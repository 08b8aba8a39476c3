package query

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	hedgePercentile       = 95
	tailPercentile        = 99
	ingressBudgetFraction = 0.2 // of the service's hedge budget; shard owners may use the rest
	maxHedgeTokens        = 20  // upper limit of unused hedge tokens
	initialHedgeTokens    = 2   // tokens per service that a VM starts with, as an advance on those that it earns
	// Hedges at the 95th percentile leave this many tokens for the hedges at twice that
	// time: one sub-request in 20 is slower than the 95th percentile, while an ingress with
	// the default hedge budget of 5% may hedge only one in 100.
	hedgeTokenReserve = maxHedgeTokens / 2
	minHedgeDelay     = time.Millisecond

	unresponsiveFactor     = 3 // multiple of the 99th percentile of owner calls
	minResponseTimeout     = 50 * time.Millisecond
	defaultResponseTimeout = 250 * time.Millisecond // also the hedge delay; while the latency of owner calls is unknown

	minSamples        = 50      // calls from which the percentiles are used
	recordsPerRefresh = 256     // records between two reads of the percentiles
	maxWindowSamples  = 1 << 13 // records after which the windows rotate and the older one is reset
	minWindowSamples  = 1 << 10 // records from which the current window is read
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 2
)

// latencyTracker keeps percentiles of the duration of calls to the owners of one
// service's shards. It records into two rotating windows, so that old durations lose
// their weight. p95 and p99 are zero until minSamples calls were recorded.
type latencyTracker struct {
	windows [2]*hdrhistogram.Histogram
	current int
	records int
	p95     time.Duration
	p99     time.Duration
}

func newLatencyTracker() *latencyTracker {
	l := &latencyTracker{}
	for i := range l.windows {
		l.windows[i] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	}
	return l
}

func (l *latencyTracker) record(d time.Duration) {
	// The value is clamped to the histogram's range, so recording it cannot fail.
	_ = l.windows[l.current].RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
	l.records++
	if l.records%recordsPerRefresh == 0 || l.records == minSamples {
		l.refresh()
	}
}

// refresh reads the percentiles from the current window, or from the previous one while
// the current one has few samples. It rotates the windows when the current one is full.
func (l *latencyTracker) refresh() {
	w := l.windows[l.current]
	if o := l.windows[1-l.current]; w.TotalCount() < minWindowSamples && o.TotalCount() > 0 {
		w = o
	}
	l.p95 = time.Duration(w.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	l.p99 = time.Duration(w.ValueAtQuantile(tailPercentile)) * time.Microsecond
	if l.windows[l.current].TotalCount() >= maxWindowSamples {
		l.current = 1 - l.current
		l.windows[l.current].Reset()
	}
}

// hedgeBudget is a token bucket that limits hedges to a fraction of the sub-requests of
// the first fan-outs. It starts with initialHedgeTokens, which the first sub-requests
// have to earn afterwards.
type hedgeBudget struct {
	tokens   float64
	unearned float64
}

func newHedgeBudget() hedgeBudget {
	return hedgeBudget{tokens: initialHedgeTokens, unearned: initialHedgeTokens}
}

// earn adds the tokens that a fan-out of subs sub-requests allows; budget is the
// hedge budget of the service, in hedges per sub-request.
func (b *hedgeBudget) earn(subs int, budget float64) {
	earned := float64(subs) * budget * ingressBudgetFraction
	repaid := min(earned, b.unearned)
	b.unearned -= repaid
	b.tokens = min(b.tokens+earned-repaid, maxHedgeTokens)
}

// spend takes one token and reports whether it could do so with at least reserve
// tokens left.
func (b *hedgeBudget) spend(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// scheduleHedge sets the timers for hedges and for unresponsive owners after a fan-out.
func (m *Machine) scheduleHedge(now time.Time, q *runningQuery) {
	l := q.service.latency
	q.hedgeRounds = 0
	q.unresponsiveAt = now.Add(q.responseTimeout(now))
	if q.Idempotent {
		q.hedgeDelay = defaultResponseTimeout
		if l.p95 > 0 {
			q.hedgeDelay = max(l.p95, minHedgeDelay)
		}
		q.hedgeAt = now.Add(q.hedgeDelay)
	}
}

// responseTimeout returns how long an owner may stay unresponsive while another one
// replies. It is at most half of the time left, so that the other owner can still
// answer.
func (q *runningQuery) responseTimeout(now time.Time) time.Duration {
	wait := defaultResponseTimeout
	if tail := q.service.latency.p99; tail > 0 {
		wait = max(unresponsiveFactor*tail, minResponseTimeout)
	}
	return min(wait, q.Deadline.Sub(now)/2)
}

// sendHedges sends each sub-request that is slower than the 95th percentile also to the
// shard's second owner. The first round leaves hedgeTokenReserve tokens unused. Further
// rounds at two, four, eight times that duration may use all tokens, so that a lost
// reply is asked for again as soon as the budget allows.
func (m *Machine) sendHedges(now time.Time, q *runningQuery) {
	reserve := float64(hedgeTokenReserve)
	if q.hedgeRounds > 0 || q.service.latency.p95 == 0 {
		reserve = 0
	}
	q.hedgeRounds++
	q.hedgeAt = now.Add(q.hedgeDelay)
	q.hedgeDelay *= 2
	if q.suspect {
		return
	}
	for i := range q.subs {
		s := q.subs[i]
		if !s.live || s.probe || q.parts[s.part].live > 1 {
			continue
		}
		other := q.shards[s.part].alternative(now, s.owner)
		if other == nil {
			continue
		}
		if !q.service.budget.spend(reserve) {
			return
		}
		q.stats.Hedges++
		m.sendTo(now, q, int(s.part), other, false)
	}
}

// leaveUnresponsiveOwners sends idempotent sub-requests also to another owner when their
// owner has sent no reply since they were sent, while some other owner has.
func (m *Machine) leaveUnresponsiveOwners(now time.Time, q *runningQuery) {
	q.unresponsiveAt = time.Time{}
	for i := range q.subs {
		s := q.subs[i]
		if !s.live || s.probe {
			continue
		}
		if !s.owner.vm.lastSeen.After(s.sentAt) && m.lastReply.After(s.sentAt) {
			s.owner.vm.markFailed(now)
			m.failOver(now, q, s)
		}
	}
	if q.Idempotent {
		q.unresponsiveAt = now.Add(max(q.responseTimeout(now), minHedgeDelay))
	}
}

// leaveDepartedOwners sends idempotent sub-requests also to another owner when the VM of
// their owner left the view.
func (m *Machine) leaveDepartedOwners(now time.Time, q *runningQuery) {
	m.lookUpService(q.Service) // brings the owners up to date with the newest view
	for i := range q.subs {
		if s := q.subs[i]; s.live && !s.probe && s.owner.vm.departed {
			m.failOver(now, q, s)
		}
	}
}

// failOver sends an idempotent sub-request also to another owner. The first one is not
// cancelled, because it may still answer.
func (m *Machine) failOver(now time.Time, q *runningQuery, s subRequest) {
	pt := &q.parts[s.part]
	if !q.Idempotent || q.suspect || pt.live > 1 || pt.sends >= maxSendsPerShard || !now.Before(q.Deadline) {
		return
	}
	if other := q.shards[s.part].replacement(now, s.owner); other != nil {
		q.stats.Failovers++
		m.sendTo(now, q, int(s.part), other, false)
	}
}
