package query

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	maxPlans = 3
	maxSends = 3 // sub-requests for one group in one plan, besides those that no home took
	// maxLostSends is the same after a call to a home that failed. Such calls take
	// up to a quarter of a second each, and homes that can't be reached for a
	// moment leave time for more of them.
	maxLostSends = 8

	firstPause   = 10 * time.Millisecond // before a home is looked for again; doubled each time
	longestPause = 160 * time.Millisecond
	versionPause = 20 * time.Millisecond  // when the homes' reports contradict the targets
	mapPause     = 50 * time.Millisecond  // before the second plan after a change of the partition map
	longMapPause = 500 * time.Millisecond // before the third; a heartbeat carries the new text by then
	probeWait    = 100 * time.Millisecond // for homes to report their versions; later reports help the next query

	// A query waits for a home during the first three quarters of its time, so
	// that its caller can still ask another VM.
	waitNumerator   = 3
	waitDenominator = 4

	claimUse = 5 * time.Second // a claim answer older than this starts nothing more
)

// plan chooses a snapshot and sends one sub-request for each group.
func (m *Machine) plan(now time.Time, q *running) {
	m.cancelSubs(q)
	q.retryAt, q.hedgeAt, q.silentAt = time.Time{}, time.Time{}, time.Time{}
	if refusal := m.precheck(now, q); refusal != nil {
		refusal.Outcome = q.worst
		m.refuse(q, refusal)
		return
	}
	q.plans++
	q.service = m.services[q.Service]
	q.config = q.service.config
	q.groups = q.service.groups
	q.partitionMap = q.service.config.PartitionMap
	q.replanAfter, q.waitsForHome = false, false
	q.stats.Shards, q.stats.Plans = len(q.groups), q.plans
	q.service.dropOld(now)
	version, complete := q.service.snapshot()
	if len(q.groups) > 0 && !complete && !reported(now, q.service) {
		m.probe(now, q)
		return
	}
	m.fanOut(now, q, version)
}

// reported tells whether all homes were asked for versions a moment ago, so
// that asking again would only delay the query.
func reported(now time.Time, s *service) bool {
	return s.common != 0 && now.Sub(s.probedAt) < probeWait
}

// probe asks the homes of all groups which versions they have, also of groups
// that reported some: they may have got the version that others already have.
// All homes are asked, so that one that is silent costs nothing.
func (m *Machine) probe(now time.Time, q *running) {
	q.phase = phaseProbing
	q.resetParts(len(q.groups))
	q.slab = nil
	q.retryAt = earlier(now.Add(probeWait), q.waitUntil)
	for i, g := range q.groups {
		for _, p := range g.paths {
			m.sendOn(now, q, i, p, true)
		}
	}
	m.probeDone(now, q)
}

// probeDone goes on when no probe is under way any more.
func (m *Machine) probeDone(now time.Time, q *running) {
	if q.probes > 0 {
		m.due.update(q)
		return
	}
	m.choose(now, q)
}

// choose takes the best snapshot after a probe. Groups that do not have it are
// missing from the answer.
func (m *Machine) choose(now time.Time, q *running) {
	q.retryAt = time.Time{}
	m.cancelSubs(q)
	if s := m.service(q.Service); s == nil || s.config != q.config {
		q.plans-- // nothing was sent for this plan
		m.plan(now, q)
		return
	}
	q.service.probedAt = now
	version, _ := q.service.snapshot()
	if version != 0 {
		m.fanOut(now, q, version)
		return
	}
	silent := slices.ContainsFunc(q.groups, func(g *group) bool { return !g.known })
	switch {
	case silent && now.Before(q.waitUntil):
		q.plans-- // nothing was sent for this plan
		q.waitsForHome = true
		m.waitThenPlan(now, q, m.nextPause(q))
	case silent:
		m.refuse(q, outcome.New(outcome.CodeNoHome, q.worst, "no home of the groups of service %q answered", q.Service))
	default:
		m.refuse(q, outcome.New(outcome.CodeNoReplica, q.worst, "no group of service %q has a live replica", q.Service))
	}
}

func (m *Machine) waitThenPlan(now time.Time, q *running, pause time.Duration) {
	q.phase = phasePausing
	q.retryAt = now.Add(pause)
	m.due.update(q)
}

func (m *Machine) nextPause(q *running) time.Duration {
	q.pause = min(max(2*q.pause, firstPause), longestPause)
	return q.pause
}

// fanOut sends the first sub-request of every group.
func (m *Machine) fanOut(now time.Time, q *running, version uint64) {
	q.phase, q.version = phaseRunning, version
	q.resetParts(len(q.groups))
	q.slab = make([]SendSub, 0, len(q.groups))
	if m.suspects.has(now, q.Fingerprint) {
		m.beginAlone(now, q)
		m.progress(now, q)
		return
	}
	for i, g := range q.groups {
		if g.known && len(g.versions) > 0 && !g.has(version) {
			m.failPart(q, i, outcome.New(outcome.CodeNoSnapshot, outcome.NotRun, "group %s/%s does not have index version %d", g.id.Service, g.id.Shard, version))
			continue
		}
		m.send(now, q, i, nil)
	}
	q.service.budget.earn(len(q.groups), q.service.config.HedgeBudget)
	m.armHedge(now, q)
	m.progress(now, q)
}

// send asks a home of group i, not the home of avoid where there is another.
func (m *Machine) send(now time.Time, q *running, i int, avoid *path) {
	g := q.groups[i]
	if refusal := m.mayWrite(now, q); refusal != nil {
		m.failPart(q, i, refusal)
		return
	}
	p := g.choose(now, avoid)
	if p == nil {
		m.park(now, q, i, outcome.New(outcome.CodeNoHome, outcome.NotRun, "group %s/%s has no home", g.id.Service, g.id.Shard))
		return
	}
	m.sendOn(now, q, i, p, false)
}

// mayWrite looks at the clock right before something is sent: a process that
// was paused must not start work that is out of date.
func (m *Machine) mayWrite(now time.Time, q *running) *outcome.Refusal {
	switch {
	case !now.Before(q.Deadline):
		return outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the deadline passed")
	case m.view.Fenced:
		return outcome.New(outcome.CodeFenced, outcome.NotRun, "this VM hears neither the configuration service nor another VM")
	case !q.Idempotent && now.Sub(q.claimAt) > claimUse:
		return outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the right to run the request is %v old", now.Sub(q.claimAt))
	}
	return nil
}

func (m *Machine) sendOn(now time.Time, q *running, i int, p *path, probe bool) {
	pt := &q.parts[i]
	repeat := !probe && (pt.sends > 0 || q.plans > 1 || q.suspect || q.cleared)
	id := m.subID(q, len(q.subs))
	q.subs = append(q.subs, sub{part: int32(i), live: true, probe: probe, repeat: repeat, path: p, sentAt: now, prev: pt.last})
	pt.last = int32(len(q.subs))
	pt.live++
	if probe {
		q.probes++
	}
	q.groups[i].took(p)
	q.stats.Sends++
	version := q.version
	if probe {
		version = 0
	} else {
		pt.sends++
	}
	a := q.newSend()
	*a = SendSub{Owner: p.home.id, Sub: scatter.SubRequest{
		ID: id, Request: q.Request, Workspace: q.Workspace, Shard: q.groups[i].id,
		PartitionMap: q.partitionMap, IndexVersion: version, Deadline: q.Deadline,
		Idempotent: q.Idempotent, Repeat: repeat, Isolated: q.suspect, Fingerprint: q.Fingerprint, Body: q.Body,
	}}
	m.emit(a)
}

// newSend takes one action of the fan-out's block, or a block of its own later.
func (q *running) newSend() *SendSub {
	if len(q.slab) == cap(q.slab) {
		return &SendSub{}
	}
	q.slab = q.slab[:len(q.slab)+1]
	return &q.slab[len(q.slab)-1]
}

// park keeps a part until a home appears or the time for that is over.
func (m *Machine) park(now time.Time, q *running, i int, cause *outcome.Refusal) {
	pt := &q.parts[i]
	pt.sends, pt.lately = pt.sends-pt.lately, 0
	switch {
	case !now.Before(q.waitUntil):
		m.failPart(q, i, cause)
		return
	case q.suspect && q.alone != int32(i):
		m.hold(q, i)
		return
	}
	pt.parked = true
	q.parked++
	if q.retryAt.IsZero() {
		q.retryAt = earlier(now.Add(m.nextPause(q)), q.waitUntil)
	}
}

func (m *Machine) unpark(now time.Time, q *running) {
	if q.parked == 0 {
		return
	}
	q.retryAt, q.parked = time.Time{}, 0
	m.service(q.Service) // homes of the newest view
	for i := range q.parts {
		if !q.parts[i].parked {
			continue
		}
		q.parts[i].parked = false
		if q.suspect && q.alone != int32(i) {
			m.hold(q, i)
			continue
		}
		m.send(now, q, i, nil)
	}
}

// replan drops the results of this plan and makes another one. A non-idempotent
// query comes here only when nothing was written.
func (m *Machine) replan(now time.Time, q *running, pause time.Duration) {
	m.cancelSubs(q)
	if q.plans >= maxPlans || !now.Add(pause).Before(q.Deadline) {
		m.refuse(q, outcome.New(outcome.CodeNoSnapshot, q.worst, "no snapshot of service %q lasted long enough for %d plans", q.Service, q.plans))
		return
	}
	q.hedgeAt, q.silentAt = time.Time{}, time.Time{}
	if pause == 0 {
		m.plan(now, q)
		return
	}
	m.waitThenPlan(now, q, pause)
}

// mapPauseFor is how long to wait for the new partition map to arrive here or
// at the homes. A view with another map ends the pause early.
func (q *running) mapPauseFor(now time.Time) time.Duration {
	pause := mapPause
	if q.plans > 1 {
		pause = longMapPause
	}
	return min(pause, q.Deadline.Sub(now)/2)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// homeless reports whether some group has no home.
func (s *service) homeless(groups []*group) bool {
	for _, g := range groups {
		if len(g.paths) == 0 {
			return true
		}
	}
	return len(groups) == 0
}

func (m *Machine) holder(id fleet.RequestID) fleet.VMID {
	if r := id.Range(); r < len(m.view.RangeHolders) {
		return m.view.RangeHolders[r]
	}
	return ""
}
