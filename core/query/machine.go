package query

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

const (
	maxRunning = 8192 // queries of one entry VM at a time; more are refused as overloaded
	maxFree    = 64   // ended queries whose memory is kept for later ones
)

// Machine runs all queries of one entry VM.
type Machine struct {
	self     fleet.VMID
	view     *fleet.View
	epoch    uint64 // counts views
	serial   uint64 // counts queries
	queries  map[ID]*running
	serials  map[uint64]*running
	due      dueHeap
	services map[string]*service
	groups   map[fleet.ShardID]*group
	homes    map[fleet.VMID]*home
	heardAt  time.Time // newest reply of any home
	suspects *contentMemory
	poisoned *contentMemory // blocked here before the fleet-wide block comes back in a view
	free     []*running
	scratch  []*running
	out      []Action
}

// New returns the machine of the entry VM called self.
func New(self fleet.VMID) *Machine {
	return &Machine{
		self:     self,
		queries:  make(map[ID]*running),
		serials:  make(map[uint64]*running),
		services: make(map[string]*service),
		groups:   make(map[fleet.ShardID]*group),
		homes:    make(map[fleet.VMID]*home),
		suspects: newContentMemory(),
		poisoned: newContentMemory(),
	}
}

// Step handles one event and returns what is to be done. The result is valid
// until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	clear(m.out)
	m.out = m.out[:0]
	switch ev := ev.(type) {
	case Start:
		m.start(now, ev)
	case *Replied:
		m.replied(now, &ev.Reply)
	case SendFailed:
		m.sendFailed(now, ev)
	case CallerGone:
		if q, ok := m.queries[ev.ID]; ok {
			m.stop(q, outcome.CodeCallerGone, "the caller went away")
		}
	case Claimed:
		m.claimAnswered(now, ev)
	case ViewChanged:
		m.viewChanged(now, ev.View)
	case Tick:
	}
	m.runDue(now)
	return m.out
}

// Next returns when Step is to be called with Tick; zero means never.
func (m *Machine) Next() time.Time { return m.due.next() }

// Running returns the number of queries that have not finished.
func (m *Machine) Running() int { return len(m.queries) }

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// start checks what can be known before any work, then claims or plans.
func (m *Machine) start(now time.Time, s Start) {
	m.serial++
	q := m.newRunning(now, s)
	m.queries[s.ID] = q
	m.serials[q.serial] = q
	m.due.add(q)
	if refusal := m.precheck(now, q); refusal != nil {
		m.refuse(q, refusal)
		return
	}
	if s.Idempotent {
		m.plan(now, q)
		return
	}
	m.claim(now, q)
}

func (m *Machine) precheck(now time.Time, q *running) *outcome.Refusal {
	switch {
	case m.view == nil || m.view.Config == nil:
		return outcome.New(outcome.CodeNotReady, outcome.NotRun, "this VM has no configuration yet")
	case len(m.queries) > maxRunning:
		return outcome.New(outcome.CodeOverloaded, outcome.NotRun, "%d queries run on this VM", maxRunning)
	case !now.Before(q.Deadline):
		return outcome.New(outcome.CodeDeadlineExceeded, outcome.NotRun, "the deadline passed before the query began")
	case m.isPoisoned(now, q.Fingerprint):
		return outcome.New(outcome.CodePoisonRequest, outcome.NotRun, "requests with this content crashed targets and are blocked")
	}
	svc := m.service(q.Service)
	if svc == nil {
		return outcome.New(outcome.CodeUnknownService, outcome.NotRun, "service %q does not exist", q.Service)
	}
	if svc.unavailable != "" {
		return outcome.New(outcome.CodeDependencyUnavailable, outcome.NotRun, "service %q depends on %q, which has a group without a home", q.Service, svc.unavailable)
	}
	return nil
}

// find returns the running query and live sub-request that a reply belongs to.
func (m *Machine) find(id scatter.SubID) (*running, *sub) {
	if id.Ingress != m.self {
		return nil, nil
	}
	q, ok := m.serials[id.Seq>>subIndexBits]
	if !ok {
		return nil, nil
	}
	i := id.Seq & subIndexMask
	if i >= uint64(len(q.subs)) || !q.subs[i].live {
		return nil, nil
	}
	return q, &q.subs[i]
}

// viewChanged takes a new view. Queries that wait for a home or a partition map
// go on at once; those whose key was withdrawn end.
func (m *Machine) viewChanged(now time.Time, v *fleet.View) {
	var before *config.Config
	if m.view != nil {
		before = m.view.Config
	}
	m.view = v
	m.epoch++
	if v.Config == nil {
		return
	}
	var keys *keyring
	if before != v.Config {
		m.prune(v.Config)
		keys = newKeyring(v.Config)
	}
	gone := m.dropHomes(v)
	m.scratch = append(m.scratch[:0], m.due...)
	for _, q := range m.scratch {
		if m.serials[q.serial] != q {
			continue
		}
		if keys != nil && !keys.allows(&q.Start) {
			m.stop(q, outcome.CodeUnauthorized, "the key or open route of the request was withdrawn")
			continue
		}
		m.viewChangedFor(now, q, gone)
	}
	clear(m.scratch)
}

func (m *Machine) viewChangedFor(now time.Time, q *running, gone bool) {
	switch q.phase {
	case phaseClaiming:
		if h := m.holder(q.Request); h != "" && h != q.holder {
			m.claim(now, q)
		}
	case phasePausing:
		svc := m.service(q.Service)
		if svc == nil || svc.config.PartitionMap != q.partitionMap || q.waitsForHome && !svc.homeless(svc.groups) {
			m.plan(now, q)
		}
	case phaseRunning:
		if gone {
			m.leaveGoneHomes(now, q)
		}
		m.unpark(now, q)
		m.progress(now, q)
	}
}

// runDue handles the queries whose time has come. Each round moves the due
// time of the first one forward or ends it.
func (m *Machine) runDue(now time.Time) {
	for len(m.due) > 0 {
		q := m.due[0]
		if q.dueAt.After(now) {
			return
		}
		m.tick(now, q)
	}
}

func (m *Machine) tick(now time.Time, q *running) {
	switch {
	case !now.Before(q.Deadline):
		m.deadline(q)
	case reached(now, q.retryAt):
		q.retryAt = time.Time{}
		m.retry(now, q)
	case reached(now, q.silentAt):
		m.leaveSilentHomes(now, q)
		m.progress(now, q)
	case reached(now, q.hedgeAt):
		m.hedge(now, q)
		m.progress(now, q)
	default:
		m.due.update(q)
	}
}

func reached(now, t time.Time) bool { return !t.IsZero() && !now.Before(t) }

// retry goes on after a pause, according to what the query waited for.
func (m *Machine) retry(now time.Time, q *running) {
	switch q.phase {
	case phaseClaiming:
		m.claim(now, q)
	case phaseProbing:
		m.choose(now, q)
	case phasePausing:
		m.plan(now, q)
	default:
		m.unpark(now, q)
		m.progress(now, q)
	}
}

// deadline answers with what has arrived, or refuses.
func (m *Machine) deadline(q *running) {
	m.cancelSubs(q)
	if q.phase != phaseRunning {
		m.refuse(q, outcome.New(outcome.CodeDeadlineExceeded, q.worst, "the deadline passed"))
		return
	}
	for i := range q.parts {
		if q.parts[i].state == partOpen {
			m.failPart(q, i, outcome.New(outcome.CodeDeadlineExceeded, q.worst, "the deadline passed"))
		}
	}
	m.finishMerged(q)
}
