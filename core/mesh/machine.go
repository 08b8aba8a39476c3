package mesh

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

const (
	hubCount = 2 // one may fail without a gap in what the others learn

	beatInterval = 400 * time.Millisecond // a change reaches all VMs within two of these
	// beatPerBusy and beatPerNode lengthen the interval in large fleets, so that
	// hubs answer at most about 80 heartbeats a second each of VMs with callers,
	// and 60 of all others, at any size.
	beatPerBusy = 12 * time.Millisecond
	beatPerNode = 16 * time.Millisecond
	// startInterval is the first one of a VM without a copy of the store.
	startInterval = 60 * time.Millisecond
	maxDoublings  = 5 // of startInterval
	// mostBetweenBeats bounds the interval that another VM can announce; a fleet of
	// 1,800 VMs has it.
	mostBetweenBeats = 30 * time.Second
	silentBeats      = 4 // heartbeats without a sign after which a VM is not in touch

	suspectTerm  = 3 * time.Second         // a hub that did not answer is passed over for so long
	pauseGap     = time.Second             // between two steps: this process was paused or suspended
	watchWait    = 1200 * time.Millisecond // a reader's copy is confirmed at least this often
	watchSpacing = 400 * time.Millisecond  // between two reads: changes in quick succession share one
	storeBackOff = 300 * time.Millisecond  // doubles with each failure in a row
	storeBackMax = 2 * time.Second

	// ownReadSlack is how long after the copy should have been confirmed again a
	// VM that isn't the reader reads the store itself. Later ranks wait longer,
	// so that a reader that fails isn't replaced by all VMs at once.
	ownReadSlack   = 300 * time.Millisecond
	ownReadPerRank = 120 * time.Millisecond
	ownReadRanks   = 8

	// settleTime is how long after its start a VM may not know all others. Until
	// then it takes its part of shared limits for that of a larger fleet: after a
	// restart of all VMs their parts would otherwise add up to many times a limit.
	settleTime    = 2 * time.Second
	settleSharers = 16 // more VMs are rarely sent callers; fewer share the targets' connections

	seedHold  = 200 * time.Millisecond // the wait for the first copy of each seed after the one before
	startHold = 650 * time.Millisecond // the same for other VMs, after the last seed

	// aloneHold is the wait for the first copy of a VM that hears of no other, to
	// which a part of aloneSpread is added.
	aloneHold   = 100 * time.Millisecond
	aloneSpread = 400 * time.Millisecond

	denyAfter     = 2 // failed reads in a row after which a VM passes its role on
	crashesToStop = 3 // targets that a request may crash before it is blocked
)

// Settings are fixed for the life of a Machine.
type Settings struct {
	Self  Node
	Seeds []string // addresses of VMs to begin with; they may be stale
}

// member is another VM.
type member struct {
	node    Node
	seen    time.Time     // last sign of life, heard directly or from a hub
	direct  time.Time     // last heartbeat from it
	every   time.Duration // between its heartbeats, as it says; zero when it sends none here
	listed  bool          // told to others: it sends heartbeats here
	crashes []Crash
	suspect time.Time           // not asked as a hub before
	gone    bool                // its process refused a connection; forgotten unless it is heard again
	ended   bool                // it refused a connection
	changed uint64              // Machine.changes when it was last changed
	listSeq uint64              // its changes up to which list is complete
	list    map[fleet.VMID]bool // VMs that it has in touch
	blocked []uint64
	toldAt  time.Time // when it told blocked
}

// removal is a member that is not in touch any more.
type removal struct {
	id     fleet.VMID
	change uint64
}

// maxRemoved bounds the removals that are remembered; a VM that is further
// behind gets the whole list.
const maxRemoved = 256

// peerCall is the heartbeat in flight to one address.
type peerCall struct {
	inFlight bool
	next     time.Time
	every    time.Duration     // the interval that the last heartbeat announced
	sent     []WorkspaceDemand // demand in the last heartbeat
	before   []WorkspaceDemand // and in the one before it
	empty    int               // replies in a row without a copy of the store, while this VM has none
}

// Machine is the state machine of one VM.
type Machine struct {
	self      Node
	seeds     []string
	started   time.Time
	lastStep  time.Time
	members   map[fleet.VMID]*member
	calls     map[string]*peerCall
	copied    mirror.Mirror
	offered   []WorkspaceDemand
	before    []WorkspaceDemand // the demand before offered
	crashes   []Crash
	held      map[fleet.VMID]heldDemand // of VMs that send heartbeats here
	told      map[fleet.VMID]toldDemand // by hubs
	silent    map[fleet.VMID]time.Time  // when VMs fell silent
	apart     bool                      // isolated, as of the last step
	sharers   int                       // VMs that share limits, as of the last view
	hubs      []Node                    // as of the last step
	asked     []string                  // addresses that get heartbeats, as of the last step
	rank      int                       // of this VM in the order of hubs
	reading   bool                      // a read of the store is in flight
	relist    bool                      // the next read has to list everything
	readAt    time.Time
	readFails int
	passed    uint64 // revision up to which news was passed on
	changes   uint64 // of what is known of the members
	removed   []removal
	forgotten uint64        // changes up to which removals were dropped
	serveWith int           // VMs that callers are sent to, at most
	active    int           // VMs that callers are sent to, as of the last view
	isActive  bool          // this VM is one of them
	wasBusy   bool          // as of the last step
	answered  time.Duration // interval that the last heartbeat with a reply announced
	viewDirty bool
	out       []Action
}

// New returns the machine of a VM that starts at now.
func New(now time.Time, s Settings) *Machine {
	m := &Machine{
		self: s.Self, seeds: s.Seeds, started: now, lastStep: now, readAt: now,
		members: make(map[fleet.VMID]*member), calls: make(map[string]*peerCall),
		held: make(map[fleet.VMID]heldDemand), told: make(map[fleet.VMID]toldDemand), silent: make(map[fleet.VMID]time.Time),
		viewDirty: true,
	}
	m.asked = m.peers()
	return m
}

// Step handles one event and returns what is to be done.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	if now.Sub(m.lastStep) > pauseGap {
		m.resumed(now)
	}
	m.lastStep = now
	switch ev := ev.(type) {
	case Heartbeat:
		m.heartbeat(now, ev)
	case HeartbeatAnswered:
		m.replied(now, ev)
	case HeartbeatFailed:
		m.unanswered(now, ev)
	case StoreRead:
		m.storeRead(now, ev)
	case StoreFailed:
		m.storeFailed(now, ev)
	case Delta:
		m.news(now, ev)
	case ForwardFailed:
		m.untold(now, ev)
	case LocalDemand:
		m.before, m.offered, m.crashes = m.offered, ev.Demand, ev.Crashes
	case Stopping:
		m.self.Phase = Leaving
		m.selfChanged(now)
	case SetSeeds:
		m.seeds = ev.Seeds
	case SetMaxActive:
		m.viewDirty = m.viewDirty || m.serveWith != ev.VMs
		m.serveWith = ev.VMs
	case Tick:
	}
	m.expire(now)
	m.chooseHubs(now)
	if apart := m.isolated(now); apart != m.apart {
		m.apart, m.viewDirty = apart, true
	}
	if m.viewDirty {
		m.viewDirty = false
		v := m.view(now)
		m.active, m.isActive = len(v.Active), v.IsActive()
		m.emit(ViewChanged{View: v})
	}
	m.beat(now)
	m.read(now)
	return m.out
}

// Next returns when Step is to be called with Tick.
func (m *Machine) Next() time.Time {
	next := m.lastStep.Add(m.usualInterval())
	for _, addr := range m.asked {
		switch c := m.calls[addr]; {
		case c == nil:
			return m.lastStep // the first heartbeat to that address is due
		case !c.inFlight:
			next = earlier(next, c.next)
		}
	}
	if !m.reading {
		if at := m.readDue(); !at.IsZero() {
			next = earlier(next, at)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// resumed forgives the silence of the others while this process did not run.
func (m *Machine) resumed(now time.Time) {
	for _, n := range m.members {
		n.seen = now
		n.suspect = time.Time{}
	}
	for _, c := range m.calls {
		c.next = now
	}
}

func (m *Machine) apply(u *mirror.Update) {
	if changed := m.copied.Apply(u); len(changed) > 0 {
		m.emit(EntriesChanged{Entries: changed})
	}
	if m.self.Phase == Starting && m.copied.Revision() > 0 {
		m.self.Phase = Serving
		m.selfChanged(m.lastStep)
	}
}

func (m *Machine) confirm(asOf uint64, at time.Time) {
	before := m.copied.ConfirmedAt()
	m.copied.Confirm(asOf, at)
	if m.copied.ConfirmedAt().After(before) {
		m.viewDirty = true
	}
}
