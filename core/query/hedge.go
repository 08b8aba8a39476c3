package query

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	hedgeQuantile = 95
	tailQuantile  = 99
	entryPart     = 0.2 // of the hedge budget; homes may use the rest
	budgetCap     = 20  // hedges that may be saved up
	hedgeAdvance  = 2   // hedges that a fresh VM may use at once
	// Hedges at the 95th percentile leave this much of the budget for those at
	// twice that time: one in twenty is slower than the 95th percentile, and
	// the budget lasts for one in a hundred.
	budgetReserve = budgetCap / 2
	minHedgeWait  = time.Millisecond

	silentFactor = 3 // times the tail of home calls
	silentWait   = 50 * time.Millisecond
	unknownWait  = 250 * time.Millisecond // while the latency of home calls is unknown

	minSamples    = 50
	refreshEvery  = 256     // records between two looks at the percentiles
	windowSamples = 1 << 13 // records after which the older window is dropped
	freshSamples  = 1 << 10 // records from which the newer window is read
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 2
)

// latency keeps the times of home calls of one service in two windows, so that
// old ones are forgotten.
type latency struct {
	windows [2]*hdrhistogram.Histogram
	newest  int
	records int
	p95     time.Duration
	p99     time.Duration
}

func newLatency() *latency {
	l := &latency{}
	for i := range l.windows {
		l.windows[i] = hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return l
}

func (l *latency) record(d time.Duration) {
	// Values out of range are clamped, so recording cannot fail.
	_ = l.windows[l.newest].RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
	l.records++
	if l.records%refreshEvery == 0 || l.records == minSamples {
		l.refresh()
	}
}

// refresh reads the percentiles from the newer window, or from the older one
// while the newer one is nearly empty.
func (l *latency) refresh() {
	w := l.windows[l.newest]
	if o := l.windows[1-l.newest]; w.TotalCount() < freshSamples && o.TotalCount() > 0 {
		w = o
	}
	l.p95 = time.Duration(w.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	l.p99 = time.Duration(w.ValueAtQuantile(tailQuantile)) * time.Microsecond
	if l.windows[l.newest].TotalCount() >= windowSamples {
		l.newest = 1 - l.newest
		l.windows[l.newest].Reset()
	}
}

// hedgeBudget allows one hedge for every so many sub-requests. The first ones
// are an advance that is earned later.
type hedgeBudget struct {
	tokens float64
	owed   float64
}

func newHedgeBudget() hedgeBudget { return hedgeBudget{tokens: hedgeAdvance, owed: hedgeAdvance} }

func (b *hedgeBudget) earn(subs int, budget float64) {
	earned := float64(subs) * budget * entryPart
	repaid := min(earned, b.owed)
	b.owed -= repaid
	b.tokens = min(b.tokens+earned-repaid, budgetCap)
}

func (b *hedgeBudget) spend(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

func (m *Machine) armHedge(now time.Time, q *running) {
	l := q.service.latency
	q.looks = 0
	q.silentAt = now.Add(q.silenceBound(now))
	if q.Idempotent {
		q.hedgeWait = unknownWait
		if l.p95 > 0 {
			q.hedgeWait = max(l.p95, minHedgeWait)
		}
		q.hedgeAt = now.Add(q.hedgeWait)
	}
}

// silenceBound is how long a home may say nothing while another one replies. Half
// of the time that is left is kept for the other home.
func (q *running) silenceBound(now time.Time) time.Duration {
	wait := unknownWait
	if tail := q.service.latency.p99; tail > 0 {
		wait = max(silentFactor*tail, silentWait)
	}
	return min(wait, q.Deadline.Sub(now)/2)
}

// hedge asks the second home of the groups that are slower than the 95th
// percentile, and again, with the whole budget, at two, four, eight times that
// time, so that a reply that got lost is asked for as soon as the budget allows.
func (m *Machine) hedge(now time.Time, q *running) {
	reserve := float64(budgetReserve)
	if q.looks > 0 || q.service.latency.p95 == 0 {
		reserve = 0
	}
	q.looks++
	q.hedgeAt = now.Add(q.hedgeWait)
	q.hedgeWait *= 2
	if q.suspect {
		return
	}
	for i := range q.subs {
		s := q.subs[i]
		if !s.live || s.probe || q.parts[s.part].live > 1 {
			continue
		}
		other := q.groups[s.part].other(now, s.path)
		if other == nil {
			continue
		}
		if !q.service.budget.spend(reserve) {
			return
		}
		q.stats.Hedges++
		m.sendOn(now, q, int(s.part), other, false)
	}
}

// leaveSilentHomes moves idempotent sub-requests away from homes that have said
// nothing since they were asked while another home replied.
func (m *Machine) leaveSilentHomes(now time.Time, q *running) {
	q.silentAt = time.Time{}
	for i := range q.subs {
		s := q.subs[i]
		if !s.live || s.probe {
			continue
		}
		if !s.path.home.heardAt.After(s.sentAt) && m.heardAt.After(s.sentAt) {
			s.path.home.failed(now)
			m.move(now, q, s)
		}
	}
	if q.Idempotent {
		q.silentAt = now.Add(max(q.silenceBound(now), minHedgeWait))
	}
}

// leaveGoneHomes moves idempotent sub-requests away from VMs that left the view.
func (m *Machine) leaveGoneHomes(now time.Time, q *running) {
	m.service(q.Service) // homes of the newest view
	for i := range q.subs {
		if s := q.subs[i]; s.live && !s.probe && s.path.home.gone {
			m.move(now, q, s)
		}
	}
}

// move asks another home as well. The first one may still answer.
func (m *Machine) move(now time.Time, q *running, s sub) {
	pt := &q.parts[s.part]
	if !q.Idempotent || q.suspect || pt.live > 1 || pt.sends >= maxSends || !now.Before(q.Deadline) {
		return
	}
	if other := q.groups[s.part].instead(now, s.path); other != nil {
		q.stats.Failovers++
		m.sendOn(now, q, int(s.part), other, false)
	}
}
