package control

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/budget"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/core/random"
)

// Machine is the control state machine of one VM. It does no input or output and
// reads no clock: Step takes an event and the time and returns the actions that
// its caller carries out. It is not safe for concurrent use.
type Machine struct {
	self      fleet.VM
	started   time.Time
	random    random.Source
	revisions config.RevisionTracker
	members   *fleet.Members
	live      []fleet.VM   // members.Live at the last heartbeat or change
	byID      *fleet.Table // the VMs of live by id

	documents    documents
	service      serviceCalls
	gate         gate
	heartbeats   heartbeats
	hub          hub
	poisonBlocks poisonBlocks
	routes       routeCache

	actions      []Action // of the current step; the slice is reused
	fleetChanged bool     // live is out of date
	needView     bool     // a View is published at the end of the step
}

// New returns the control machine of the VM called self.
func New(now time.Time, self fleet.VM, r random.Source) *Machine {
	m := &Machine{
		self: self, started: now, random: r, members: fleet.NewMembers(self),
		documents:    documents{rejected: make(map[config.Digest]bool)},
		service:      serviceCalls{pacer: budget.New(r)},
		heartbeats:   newHeartbeats(now),
		hub:          newHub(now, self.ID),
		poisonBlocks: poisonBlocks{until: make(map[fleet.Fingerprint]time.Time)},
		fleetChanged: true, needView: true,
	}
	return m
}

// Step handles one event and returns the actions to carry out. The next call
// reuses the returned slice.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	m.handleEvent(now, ev)
	m.expireCalls(now)
	m.resignIfDue(now)
	if m.fleetChanged {
		m.refresh(now)
	}
	m.updateGate(now)
	if !now.Before(m.heartbeats.next) {
		m.sendHeartbeats(now)
		m.needView = true
	}
	m.startDueCalls(now)
	if m.needView {
		m.needView = false
		m.emit(Publish{View: m.view(now)})
	}
	return m.actions
}

func (m *Machine) handleEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case ConfigRead:
		m.handleConfigRead(now, ev.Document)
	case ConfigUnchanged:
		m.handleConfigUnchanged(now)
	case ConfigReadFailed:
		m.handleConfigFailure(now)
	case VMListRead:
		m.handleVMList(now, ev.VMs)
	case VMListFailed:
		m.handleVMListFailure(now)
	case PeerHeartbeat:
		m.emit(AnswerHeartbeat{Call: ev.Call, Reply: m.handleHeartbeat(now, ev.Heartbeat)})
	case HeartbeatAnswered:
		m.handleHeartbeatReply(now, ev)
	case HeartbeatFailed:
		m.handleHeartbeatFailure(now, ev.Call)
	case DocumentFetched:
		m.handleDocument(now, ev)
	case FetchFailed:
		m.handleFetchFailure(now, ev.From)
	case Demand:
		m.hub.holder.SetDemand(ev.RatePerSecond)
	case SharesApplied:
		m.handleSharesApplied(now, ev.Generation)
	case PoisonReported:
		m.handlePoisonReport(now, ev)
	case Leave:
		m.leave(now)
	case Tick:
	}
}

// Next returns when Step must be called with a Tick unless another event comes first.
func (m *Machine) Next() time.Time {
	next := m.heartbeats.next
	for _, due := range []time.Time{m.nextServiceCall(), m.nextGateChange(), m.documents.fetchDeadline(), m.hub.resignAt} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return next
}

// Document returns the accepted configuration document, nil when there is none.
func (m *Machine) Document() []byte {
	if c := m.revisions.Current(); c != nil {
		return c.Document
	}
	return nil
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// maxVMs returns the max_vms of the configuration in force, zero when there is none.
func (m *Machine) maxVMs() int {
	if c := m.revisions.Current(); c != nil {
		return c.Fleet.MaxVMs
	}
	return 0
}

// setState changes the state of this VM and announces it at once.
func (m *Machine) setState(now time.Time, s fleet.VMState) {
	m.self.State = s
	m.members.SetSelf(m.self)
	m.fleetChanged = true
	m.announce(now)
}

// handoverDelay is how long a leaving coordinator waits before it resigns: four
// heartbeats, in which it grants its own shares to other VMs. A successor would
// have to wait about 5 s, until those shares have certainly expired.
const handoverDelay = 2 * time.Second

// leave begins the planned stop: it returns all shares at once, and the votes too
// unless this VM is coordinator, which resigns after handoverDelay.
func (m *Machine) leave(now time.Time) {
	if m.self.State == fleet.Leaving {
		return
	}
	m.hub.holder.Leave()
	m.setState(now, fleet.Leaving)
	m.needView = true
	if m.hub.candidate.Leadership(now).Fraction == lease.Full && len(m.live) > 1 {
		m.hub.resignAt = now.Add(handoverDelay)
		return
	}
	m.resign(now)
}

// resign ends the leadership of a leaving VM and releases its votes.
func (m *Machine) resign(now time.Time) {
	m.hub.resignAt = time.Time{}
	m.hub.candidate.Resign()
	m.hub.voter.Leave()
	m.updateClaim(now)
	m.announce(now)
}

func (m *Machine) resignIfDue(now time.Time) {
	if at := m.hub.resignAt; !at.IsZero() && !now.Before(at) {
		m.resign(now)
	}
}

// refresh updates the live VMs and, on the hub, the table.
func (m *Machine) refresh(now time.Time) {
	m.fleetChanged = false
	if live := m.members.Live(now); m.byID == nil || !slices.Equal(live, m.live) {
		m.live, m.byID = live, fleet.NewTable(live)
	}
	m.updateTable(now)
}
