package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	maxRunningQueries = 8192 // queries of one ingress at a time; more are refused as overloaded
	maxFreeQueries    = 64   // ended queries whose memory is reused
)

// Machine is the state machine of all queries of one ingress. It does no input or
// output: Step takes events and returns actions. It is not safe for concurrent use.
type Machine struct {
	self        fleet.VMID
	view        *fleet.View
	viewEpoch   uint64 // incremented with each view
	serial      uint64 // of the newest query
	queries     map[ID]*runningQuery
	bySerial    map[uint64]*runningQuery
	due         dueHeap
	services    map[string]*service
	shards      map[fleet.ShardID]*shard
	ownerVMs    map[fleet.VMID]*ownerVM
	lastReply   time.Time // time of the newest reply of any owner
	suspects    *fingerprintCache
	poisoned    *fingerprintCache // fingerprints blocked on this VM before the fleet-wide block arrives in a view
	freeQueries []*runningQuery
	scratch     []*runningQuery
	actions     []Action
}

// New returns the machine of the ingress self, without queries and without a view.
func New(self fleet.VMID) *Machine {
	return &Machine{
		self:     self,
		queries:  make(map[ID]*runningQuery),
		bySerial: make(map[uint64]*runningQuery),
		services: make(map[string]*service),
		shards:   make(map[fleet.ShardID]*shard),
		ownerVMs: make(map[fleet.VMID]*ownerVM),
		suspects: newFingerprintCache(),
		poisoned: newFingerprintCache(),
	}
}

// Step handles one event and all timers that are due at now, and returns the actions to
// carry out. The returned slice is valid until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	switch ev := ev.(type) {
	case Start:
		m.handleStart(now, ev)
	case *Replied:
		m.handleReply(now, &ev.Reply)
	case SendFailed:
		m.handleSendFailed(now, ev)
	case CallerGone:
		if q, ok := m.queries[ev.ID]; ok {
			m.abort(q, outcome.CodeCallerGone, "the caller went away")
		}
	case Claimed:
		m.handleClaimed(now, ev)
	case ViewChanged:
		m.handleViewChanged(now, ev.View)
	case Tick:
	}
	m.runTimers(now)
	return m.actions
}

// Next returns the time at which Step is to be called with Tick. It is zero when no
// timer is set.
func (m *Machine) Next() time.Time { return m.due.earliest() }

// Running returns the number of queries that have not finished.
func (m *Machine) Running() int { return len(m.queries) }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// handleStart registers a query and refuses it if that is possible before any work. An
// idempotent query is planned at once, a non-idempotent one claims its request id first.
func (m *Machine) handleStart(now time.Time, s Start) {
	m.serial++
	q := m.newQuery(now, s)
	m.queries[s.ID] = q
	m.bySerial[q.serial] = q
	m.due.add(q)
	if refusal := m.precheck(now, q); refusal != nil {
		m.refuse(q, refusal)
		return
	}
	if s.Idempotent {
		m.plan(now, q)
		return
	}
	m.sendClaim(now, q)
}

// precheck returns the refusal of a query that cannot be planned, nil otherwise.
func (m *Machine) precheck(now time.Time, q *runningQuery) *outcome.Refusal {
	switch {
	case m.view == nil || m.view.Config == nil:
		return outcome.New(outcome.CodeNotReady, outcome.NotRun, "this VM has no configuration yet")
	case len(m.queries) > maxRunningQueries:
		return outcome.New(outcome.CodeOverloaded, outcome.NotRun, "%d queries run on this VM", maxRunningQueries)
	case !now.Before(q.Deadline):
		return outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the deadline passed before the query began")
	case m.isPoisoned(now, q.Fingerprint):
		return outcome.New(outcome.CodePoisonRequest, outcome.NotRun, "requests with this content crashed targets and are blocked")
	}
	svc := m.lookUpService(q.Service)
	if svc == nil {
		return outcome.New(outcome.CodeUnknownService, outcome.NotRun, "service %q does not exist", q.Service)
	}
	if svc.unavailableDependency != "" {
		return outcome.New(outcome.CodeDependencyUnavailable, outcome.NotRun, "service %q depends on %q, which has a group without a home", q.Service, svc.unavailableDependency)
	}
	return nil
}

// findSub returns the live sub-request with the given id and its query, or nil if there
// is none.
func (m *Machine) findSub(id scatter.SubID) (*runningQuery, *subRequest) {
	if id.Ingress != m.self {
		return nil, nil
	}
	q, ok := m.bySerial[id.Seq>>subIndexBits]
	if !ok {
		return nil, nil
	}
	i := id.Seq & subIndexMask
	if i >= uint64(len(q.subs)) || !q.subs[i].live {
		return nil, nil
	}
	return q, &q.subs[i]
}

// handleViewChanged adopts a new view. Queries that wait for an owner or a partition map
// continue at once; queries whose key or open route was withdrawn are refused.
func (m *Machine) handleViewChanged(now time.Time, v *fleet.View) {
	var oldConfig *config.Config
	if m.view != nil {
		oldConfig = m.view.Config
	}
	m.view = v
	m.viewEpoch++
	if v.Config == nil {
		return
	}
	var rules *accessRules
	if oldConfig != v.Config {
		m.pruneServices(v.Config)
		rules = newAccessRules(v.Config)
	}
	departed := m.removeDepartedOwners(v)
	m.scratch = append(m.scratch[:0], m.due...)
	for _, q := range m.scratch {
		if m.bySerial[q.serial] != q {
			continue
		}
		if rules != nil && !rules.allows(&q.Start) {
			m.abort(q, outcome.CodeUnauthorized, "the key or open route of the request was withdrawn")
			continue
		}
		m.applyViewToQuery(now, q, departed)
	}
	clear(m.scratch)
}

// applyViewToQuery continues a query for which the new view may matter; departed means
// that owners left the view.
func (m *Machine) applyViewToQuery(now time.Time, q *runningQuery, departed bool) {
	switch q.phase {
	case phaseClaiming:
		if h := m.rangeHolder(q.RequestID); h != "" && h != q.holder {
			m.sendClaim(now, q)
		}
	case phaseBackingOff:
		svc := m.lookUpService(q.Service)
		if svc == nil || svc.config.PartitionMap != q.partitionMap || q.waitsForOwner && !svc.hasShardWithoutOwner(svc.shards) {
			m.plan(now, q)
		}
	case phaseRunning:
		if departed {
			m.leaveDepartedOwners(now, q)
		}
		m.retryParked(now, q)
		m.finishIfDone(now, q)
	}
}

// runTimers handles all queries whose timer is due. Each iteration ends the first query
// or moves its timer forward, so the loop terminates.
func (m *Machine) runTimers(now time.Time) {
	for len(m.due) > 0 {
		q := m.due[0]
		if q.dueAt.After(now) {
			return
		}
		m.handleTimer(now, q)
	}
}

func (m *Machine) handleTimer(now time.Time, q *runningQuery) {
	switch {
	case !now.Before(q.Deadline):
		m.handleDeadline(q)
	case isDue(now, q.retryAt):
		q.retryAt = time.Time{}
		m.handleRetryTimer(now, q)
	case isDue(now, q.unresponsiveAt):
		m.leaveUnresponsiveOwners(now, q)
		m.finishIfDone(now, q)
	case isDue(now, q.hedgeAt):
		m.sendHedges(now, q)
		m.finishIfDone(now, q)
	default:
		m.due.update(q)
	}
}

func isDue(now, t time.Time) bool { return !t.IsZero() && !now.Before(t) }

// handleRetryTimer continues a query according to the phase in which it waited.
func (m *Machine) handleRetryTimer(now time.Time, q *runningQuery) {
	switch q.phase {
	case phaseClaiming:
		m.sendClaim(now, q)
	case phaseProbing:
		m.chooseSnapshot(now, q)
	case phaseBackingOff:
		m.plan(now, q)
	default:
		m.retryParked(now, q)
		m.finishIfDone(now, q)
	}
}

// handleDeadline answers with the parts that have arrived, or refuses the query.
func (m *Machine) handleDeadline(q *runningQuery) {
	m.cancelSubs(q)
	if q.phase != phaseRunning {
		m.refuse(q, outcome.New(outcome.CodeDeadlineExceeded, q.worstOutcome, "the deadline passed"))
		return
	}
	for i := range q.parts {
		if q.parts[i].state == partOpen {
			m.failPart(q, i, outcome.New(outcome.CodeDeadlineExceeded, q.worstOutcome, "the deadline passed"))
		}
	}
	m.finishMerged(q)
}
