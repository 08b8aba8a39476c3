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

// Machine is the control machine of one VM.
type Machine struct {
	self    fleet.VM
	started time.Time
	random  random.Source
	order   config.RevisionTracker
	members *fleet.Members
	live    []fleet.VM   // members.Live at the last beat or change
	byID    *fleet.Table // the VMs of live

	texts   texts
	service service
	gate    gate
	beats   beats
	hub     hub
	poisons poisons
	routes  routes

	out      []Action
	changed  bool // the fleet changed: live is out of date
	needView bool
}

// New returns the control machine of the VM called self.
func New(now time.Time, self fleet.VM, r random.Source) *Machine {
	m := &Machine{
		self: self, started: now, random: r, members: fleet.NewMembers(self),
		texts:   texts{refused: make(map[config.Digest]bool)},
		service: service{pacer: budget.New(r)},
		beats:   newBeats(now),
		hub:     newHub(now, self.ID),
		poisons: poisons{until: make(map[fleet.Fingerprint]time.Time)},
		changed: true, needView: true,
	}
	return m
}

// Step handles one event and returns what is to be done.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = m.out[:0]
	m.handle(now, ev)
	m.expireCalls(now)
	m.resignIfDue(now)
	if m.changed {
		m.refresh(now)
	}
	m.updateGate(now)
	if !now.Before(m.beats.next) {
		m.beat(now)
		m.needView = true
	}
	m.callService(now)
	if m.needView {
		m.needView = false
		m.emit(Publish{View: m.view(now)})
	}
	return m.out
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case ConfigRead:
		m.serviceText(now, ev.Document)
	case ConfigUnchanged:
		m.serviceAnswered(now)
	case ConfigReadFailed:
		m.serviceFailed(now)
	case VMListRead:
		m.listRead(now, ev.VMs)
	case VMListFailed:
		m.listFailed(now)
	case PeerHeartbeat:
		m.emit(AnswerHeartbeat{Call: ev.Call, Reply: m.answer(now, ev.Heartbeat)})
	case HeartbeatAnswered:
		m.answered(now, ev)
	case HeartbeatFailed:
		m.beatFailed(now, ev.Call)
	case DocumentFetched:
		m.peerText(now, ev)
	case FetchFailed:
		m.fetchFailed(now, ev.From)
	case Demand:
		m.hub.holder.SetDemand(ev.RatePerSecond)
	case SharesApplied:
		m.applied(now, ev.Generation)
	case PoisonReported:
		m.poisoned(now, ev)
	case Leave:
		m.leave(now)
	case Tick:
	}
}

// Next returns when Step is to be called with Tick.
func (m *Machine) Next() time.Time {
	next := m.beats.next
	for _, due := range []time.Time{m.serviceDue(), m.gateDue(), m.texts.due(), m.hub.resignAt} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return next
}

// Document returns the accepted text, nil when there is none.
func (m *Machine) Document() []byte {
	if c := m.order.Current(); c != nil {
		return c.Document
	}
	return nil
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// maxVMs is the bound of the text in force, zero when there is no text.
func (m *Machine) maxVMs() int {
	if c := m.order.Current(); c != nil {
		return c.Fleet.MaxVMs
	}
	return 0
}

// setState moves this VM to a state and tells the others at once.
func (m *Machine) setState(now time.Time, s fleet.VMState) {
	m.self.State = s
	m.members.SetSelf(m.self)
	m.changed = true
	m.announce(now)
}

// handOverTime is how long a coordinator that leaves keeps its office: four
// heartbeats, in which it grants to others what it held itself. A successor
// could grant that only when it is sure that nobody uses it, about 5 s later.
const handOverTime = 2 * time.Second

// leave gives back all shares at once, and votes too unless this VM is
// coordinator.
func (m *Machine) leave(now time.Time) {
	if m.self.State == fleet.Leaving {
		return
	}
	m.hub.holder.Leave()
	m.setState(now, fleet.Leaving)
	m.needView = true
	if m.hub.candidate.Leadership(now).Fraction == lease.Full && len(m.live) > 1 {
		m.hub.resignAt = now.Add(handOverTime)
		return
	}
	m.resign(now)
}

// resign gives back the office and the votes of a VM that leaves.
func (m *Machine) resign(now time.Time) {
	m.hub.resignAt = time.Time{}
	m.hub.candidate.Resign()
	m.hub.voter.Leave()
	m.claimOffice(now)
	m.announce(now)
}

func (m *Machine) resignIfDue(now time.Time) {
	if at := m.hub.resignAt; !at.IsZero() && !now.Before(at) {
		m.resign(now)
	}
}

// refresh computes who is live and, on the collecting VM, the table.
func (m *Machine) refresh(now time.Time) {
	m.changed = false
	if live := m.members.Live(now); m.byID == nil || !slices.Equal(live, m.live) {
		m.live, m.byID = live, fleet.NewTable(live)
	}
	m.collect(now)
}
