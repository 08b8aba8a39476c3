package query

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	maxPlans         = 3
	maxSendsPerShard = 3 // sub-requests for one shard in one plan, not counting those that no owner accepted
	// maxSendsAfterLoss replaces maxSendsPerShard after a failed call to an owner. Such a
	// call takes up to a quarter of a second, and when owners are unreachable only for a
	// moment there is time for more of them.
	maxSendsAfterLoss = 8

	minOwnerBackoff     = 10 * time.Millisecond // before an owner is looked up again; doubled each time
	maxOwnerBackoff     = 160 * time.Millisecond
	versionReplanDelay  = 20 * time.Millisecond  // when the reports of the owners contradict the targets
	firstMapReplanDelay = 50 * time.Millisecond  // before the second plan after a change of the partition map
	laterMapReplanDelay = 500 * time.Millisecond // before the third plan; a heartbeat delivers the new document by then
	probeTimeout        = 100 * time.Millisecond // for owners to report their index versions; later reports serve the next query

	// A query waits for an owner only during the first three quarters of the time to its
	// deadline, so that its caller can still ask another VM.
	ownerWaitNumerator   = 3
	ownerWaitDenominator = 4

	maxClaimAge = 5 * time.Second // sub-requests of a non-idempotent query are sent only while its claim is younger
)

// plan drops the state of the previous plan, chooses a snapshot and sends one
// sub-request per shard. If the index versions of the shards are not known well enough,
// it probes the owners first.
func (m *Machine) plan(now time.Time, q *runningQuery) {
	m.cancelSubs(q)
	q.retryAt, q.hedgeAt, q.unresponsiveAt = time.Time{}, time.Time{}, time.Time{}
	if refusal := m.precheck(now, q); refusal != nil {
		refusal.Outcome = q.worstOutcome
		m.refuse(q, refusal)
		return
	}
	q.plans++
	q.service = m.services[q.Service]
	q.config = q.service.config
	q.shards = q.service.shards
	q.partitionMap = q.service.config.PartitionMap
	q.replanWhenDone, q.waitsForOwner = false, false
	q.stats.Shards, q.stats.Plans = len(q.shards), q.plans
	q.service.expireVersions(now)
	version, complete := q.service.snapshot()
	if len(q.shards) > 0 && !complete && !probedRecently(now, q.service) {
		m.sendProbes(now, q)
		return
	}
	m.fanOut(now, q, version)
}

// probedRecently reports whether all owners were probed for their index versions within
// probeTimeout, so that another probe would only delay the query.
func probedRecently(now time.Time, s *service) bool {
	return s.commonVersion != 0 && now.Sub(s.probedAt) < probeTimeout
}

// sendProbes asks the owners of all shards for their index versions. Shards that
// reported versions are included, because they may have received a newer one that the
// others already have. All owners of a shard are asked at once, so that an unresponsive
// one costs no time.
func (m *Machine) sendProbes(now time.Time, q *runningQuery) {
	q.phase = phaseProbing
	q.resetParts(len(q.shards))
	q.sendBuffer = nil
	q.retryAt = earlier(now.Add(probeTimeout), q.ownerWaitUntil)
	for i, sh := range q.shards {
		for _, o := range sh.owners {
			m.sendTo(now, q, i, o, true)
		}
	}
	m.chooseIfProbed(now, q)
}

// chooseIfProbed chooses a snapshot as soon as no probe is in flight.
func (m *Machine) chooseIfProbed(now time.Time, q *runningQuery) {
	if q.liveProbes > 0 {
		m.due.update(q)
		return
	}
	m.chooseSnapshot(now, q)
}

// chooseSnapshot plans with the best snapshot known after a probe. Shards without it
// will be missing from the answer.
func (m *Machine) chooseSnapshot(now time.Time, q *runningQuery) {
	q.retryAt = time.Time{}
	m.cancelSubs(q)
	if s := m.lookUpService(q.Service); s == nil || s.config != q.config {
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
	unresponsive := slices.ContainsFunc(q.shards, func(sh *shard) bool { return !sh.versionsKnown })
	switch {
	case unresponsive && now.Before(q.ownerWaitUntil):
		q.plans-- // nothing was sent for this plan
		q.waitsForOwner = true
		m.planAfter(now, q, m.nextBackoff(q))
	case unresponsive:
		m.refuse(q, outcome.New(outcome.CodeNoHome, q.worstOutcome, "no home of the groups of service %q answered", q.Service))
	default:
		m.refuse(q, outcome.New(outcome.CodeNoReplica, q.worstOutcome, "no group of service %q has a live replica", q.Service))
	}
}

func (m *Machine) planAfter(now time.Time, q *runningQuery, delay time.Duration) {
	q.phase = phaseBackingOff
	q.retryAt = now.Add(delay)
	m.due.update(q)
}

func (m *Machine) nextBackoff(q *runningQuery) time.Duration {
	q.ownerBackoff = min(max(2*q.ownerBackoff, minOwnerBackoff), maxOwnerBackoff)
	return q.ownerBackoff
}

// fanOut sends the first sub-request of every shard. Shards known not to have the index
// version fail at once.
func (m *Machine) fanOut(now time.Time, q *runningQuery, version uint64) {
	q.phase, q.version = phaseRunning, version
	q.resetParts(len(q.shards))
	q.sendBuffer = make([]SendSub, 0, len(q.shards))
	if m.suspects.has(now, q.Fingerprint) {
		m.startIsolated(now, q)
		m.finishIfDone(now, q)
		return
	}
	for i, sh := range q.shards {
		if sh.versionsKnown && len(sh.versions) > 0 && !sh.has(version) {
			m.failPart(q, i, outcome.New(outcome.CodeNoSnapshot, outcome.NotRun, "group %s/%s does not have index version %d", sh.id.Service, sh.id.Shard, version))
			continue
		}
		m.send(now, q, i, nil)
	}
	q.service.budget.earn(len(q.shards), q.service.config.HedgeBudget)
	m.scheduleHedge(now, q)
	m.finishIfDone(now, q)
}

// send sends a sub-request for part i to an owner of its shard, to the owner avoid only
// if there is no other. Without any owner the part is parked.
func (m *Machine) send(now time.Time, q *runningQuery, i int, avoid *shardOwner) {
	sh := q.shards[i]
	if refusal := m.checkBeforeSend(now, q); refusal != nil {
		m.failPart(q, i, refusal)
		return
	}
	o := sh.pickOwner(now, avoid)
	if o == nil {
		m.park(now, q, i, outcome.New(outcome.CodeNoHome, outcome.NotRun, "group %s/%s has no home", sh.id.Service, sh.id.Shard))
		return
	}
	m.sendTo(now, q, i, o, false)
}

// checkBeforeSend returns a refusal when nothing may be sent for the query any more, nil
// otherwise. It compares with now right before each send, because a process that was
// suspended must not start work that is out of date.
func (m *Machine) checkBeforeSend(now time.Time, q *runningQuery) *outcome.Refusal {
	switch {
	case !now.Before(q.Deadline):
		return outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the deadline passed")
	case m.view.Fenced:
		return outcome.New(outcome.CodeFenced, outcome.NotRun, "this VM hears neither the configuration service nor another VM")
	case !q.Idempotent && now.Sub(q.claimSentAt) > maxClaimAge:
		return outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the right to run the request is %v old", now.Sub(q.claimSentAt))
	}
	return nil
}

// sendTo emits a sub-request or a probe for part i to owner o and accounts for it.
func (m *Machine) sendTo(now time.Time, q *runningQuery, i int, o *shardOwner, probe bool) {
	pt := &q.parts[i]
	repeat := !probe && (pt.sends > 0 || q.plans > 1 || q.suspect || q.cleared)
	id := m.subID(q, len(q.subs))
	q.subs = append(q.subs, subRequest{part: int32(i), live: true, probe: probe, repeat: repeat, owner: o, sentAt: now, prevSub: pt.lastSub})
	pt.lastSub = int32(len(q.subs))
	pt.live++
	if probe {
		q.liveProbes++
	}
	q.shards[i].countSend(o)
	q.stats.SubRequests++
	version := q.version
	if probe {
		version = 0
	} else {
		pt.sends++
	}
	a := q.allocateSend()
	*a = SendSub{Owner: o.vm.id, Sub: scatter.SubRequest{
		ID: id, RequestID: q.RequestID, Workspace: q.Workspace, Shard: q.shards[i].id,
		PartitionMap: q.partitionMap, IndexVersion: version, Deadline: q.Deadline,
		Idempotent: q.Idempotent, Repeat: repeat, Isolated: q.suspect, Fingerprint: q.Fingerprint, Body: q.Body,
	}}
	m.emit(a)
}

// allocateSend returns the next element of the fan-out's buffer, or a separate
// allocation once the buffer is used up.
func (q *runningQuery) allocateSend() *SendSub {
	if len(q.sendBuffer) == cap(q.sendBuffer) {
		return &SendSub{}
	}
	q.sendBuffer = q.sendBuffer[:len(q.sendBuffer)+1]
	return &q.sendBuffer[len(q.sendBuffer)-1]
}

// park keeps a part until an owner appears. The part fails with cause once the time to
// wait for an owner has passed. Sub-requests that no owner accepted no longer count
// against the limit.
func (m *Machine) park(now time.Time, q *runningQuery, i int, cause *outcome.Refusal) {
	pt := &q.parts[i]
	pt.sends, pt.recentRejects = pt.sends-pt.recentRejects, 0
	switch {
	case !now.Before(q.ownerWaitUntil):
		m.failPart(q, i, cause)
		return
	case q.suspect && q.isolated != int32(i):
		m.holdPart(q, i)
		return
	}
	pt.parked = true
	q.parkedParts++
	if q.retryAt.IsZero() {
		q.retryAt = earlier(now.Add(m.nextBackoff(q)), q.ownerWaitUntil)
	}
}

// retryParked sends all parked parts again; those without an owner are parked again.
func (m *Machine) retryParked(now time.Time, q *runningQuery) {
	if q.parkedParts == 0 {
		return
	}
	q.retryAt, q.parkedParts = time.Time{}, 0
	m.lookUpService(q.Service) // brings the owners up to date with the newest view
	for i := range q.parts {
		if !q.parts[i].parked {
			continue
		}
		q.parts[i].parked = false
		if q.suspect && q.isolated != int32(i) {
			m.holdPart(q, i)
			continue
		}
		m.send(now, q, i, nil)
	}
}

// replan drops the results of the current plan and plans again after the delay. A
// non-idempotent query is replanned only when none of its parts was written to a target.
func (m *Machine) replan(now time.Time, q *runningQuery, delay time.Duration) {
	m.cancelSubs(q)
	if q.plans >= maxPlans || !now.Add(delay).Before(q.Deadline) {
		m.refuse(q, outcome.New(outcome.CodeNoSnapshot, q.worstOutcome, "no snapshot of service %q lasted long enough for %d plans", q.Service, q.plans))
		return
	}
	q.hedgeAt, q.unresponsiveAt = time.Time{}, time.Time{}
	if delay == 0 {
		m.plan(now, q)
		return
	}
	m.planAfter(now, q, delay)
}

// mapReplanDelay returns how long to wait for the new partition map to arrive at this VM
// or at the owners. A view with another map ends the wait early.
func (q *runningQuery) mapReplanDelay(now time.Time) time.Duration {
	delay := firstMapReplanDelay
	if q.plans > 1 {
		delay = laterMapReplanDelay
	}
	return min(delay, q.Deadline.Sub(now)/2)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hasShardWithoutOwner reports whether a shard has no owner; also true when there are no
// shards.
func (s *service) hasShardWithoutOwner(shards []*shard) bool {
	for _, sh := range shards {
		if len(sh.owners) == 0 {
			return true
		}
	}
	return len(shards) == 0
}

// rangeHolder returns the VM that holds the range of the request id, or the empty ID if
// none does.
func (m *Machine) rangeHolder(id fleet.RequestID) fleet.VMID {
	if r := id.Range(); r < len(m.view.RangeHolders) {
		return m.view.RangeHolders[r]
	}
	return ""
}
