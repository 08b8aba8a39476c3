package mesh

import (
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

const (
	hubCount = 2 // the fleet stays informed when one of them fails

	minHeartbeatInterval = 400 * time.Millisecond // a change reaches all VMs within two intervals
	// In large fleets the interval grows with the number of VMs. At any fleet size
	// a hub answers at most about 80 heartbeats per second from active VMs and 60
	// from the others.
	heartbeatIntervalPerActiveVM = 12 * time.Millisecond
	heartbeatIntervalPerVM       = 16 * time.Millisecond
	// initialHeartbeatInterval is the first interval of a VM that has no copy of
	// the store. It doubles with each heartbeat that brings none.
	initialHeartbeatInterval = 60 * time.Millisecond
	maxIntervalDoublings     = 5 // of initialHeartbeatInterval
	// maxHeartbeatInterval bounds the interval that another VM can announce. A
	// fleet of about 1,800 VMs reaches it.
	maxHeartbeatInterval = 30 * time.Second
	maxMissedHeartbeats  = 4 // a VM is unresponsive after this many intervals without a message from it or a report of it by a hub

	suspectHubTTL       = 3 * time.Second         // how long a hub that did not answer is not chosen as a hub
	minProcessPause     = time.Second             // a longer time between two steps means that this process was suspended
	watchTimeout        = 1200 * time.Millisecond // of a read without changes; bounds the time between two confirmations of the reader's copy
	minReadInterval     = 400 * time.Millisecond  // between the starts of two reads, so that changes in quick succession share one
	initialStoreBackoff = 300 * time.Millisecond  // doubles with each consecutive failure
	maxStoreBackoff     = 2 * time.Second

	// fallbackReadSlack is how long after the expected confirmation of its copy a VM
	// that is not the reader reads the store itself. It adds fallbackReadDelayPerRank
	// for each rank in the order of hubs, up to maxFallbackReadRank if it is busy, so
	// that a failed reader is not replaced by all VMs at once.
	fallbackReadSlack        = 300 * time.Millisecond
	fallbackReadDelayPerRank = 120 * time.Millisecond
	maxFallbackReadRank      = 8

	// discoveryPeriod is the time after its start in which a VM may not know all
	// others. Until it ends, the VM divides shared limits by at least
	// assumedSharers: after a restart of the whole fleet the shares would otherwise
	// add up to many times a limit.
	discoveryPeriod = 2 * time.Second
	assumedSharers  = 16 // rarely exceeded; lower where the targets' connections allow for fewer active VMs

	seedReadDelay    = 200 * time.Millisecond // between the first reads of two seeds, in the order of the seeds
	nonSeedReadDelay = 650 * time.Millisecond // from the start of another VM to its first read, so that the seeds read first

	// noPeerReadDelay is the time from its start after which a VM that knows no
	// other reads the store. A fraction of noPeerReadJitter is added.
	noPeerReadDelay  = 100 * time.Millisecond
	noPeerReadJitter = 400 * time.Millisecond

	failuresBeforeUnreachable = 2 // consecutive failed reads after which a VM counts the store as unreachable: it reports StoreDenied and gives up the reader's role
)

// Settings are the inputs of a Machine that are known at its start.
type Settings struct {
	Self  Node
	Seeds []string // peer addresses to contact first; they may be stale
	// Outlives decides which entries are kept when the store returns from an older
	// copy; nil for none.
	Outlives mirror.Outlives
}

// member is what this VM knows of another VM.
type member struct {
	node          Node
	lastSeen      time.Time           // last time at which it was known to be alive, from its messages or the report of a hub
	lastHeartbeat time.Time           // time of the last heartbeat received from it
	interval      time.Duration       // announced heartbeat interval; zero when it sends none to this VM
	listed        bool                // reported to other VMs, since it sends heartbeats to this one
	crashes       []crashRecord       // in its last heartbeat to this VM
	pressing      []callers.Pressing  // in its last heartbeat to this VM
	toldPressing  []callers.Pressing  // in its last reply to this VM
	failingAt     time.Time           // when this VM learned of node.StoreFailing
	suspectUntil  time.Time           // not chosen as a hub before this time
	gone          bool                // removed at the next expiry unless it is seen later
	connRefused   bool                // its process refused a connection
	changeSeq     uint64              // Machine.changeSeq of its last change
	reachableSeq  uint64              // the hub's change number up to which reachable is complete
	reachable     map[fleet.VMID]bool // VMs that it reports as reachable, if it is a hub
	reportedAt    time.Time           // when it last answered a heartbeat
}

// removal records a member that is no longer reported to other VMs.
type removal struct {
	id        fleet.VMID
	changeSeq uint64
}

// maxRemovals bounds the removals that are kept. A VM that is further behind
// gets the complete list of members.
const maxRemovals = 256

// heartbeatState is the state of the heartbeats to one address.
type heartbeatState struct {
	inFlight    bool
	answered    bool // at least one heartbeat was answered
	alert       bool // the last heartbeat was sent only to tell of failing reads, to a VM that may be no hub
	nextAt      time.Time
	interval    time.Duration     // announced in the last heartbeat
	sentDemand  []WorkspaceDemand // demand in the last heartbeat
	prevDemand  []WorkspaceDemand // demand in the heartbeat before it
	hubSum      uint64            // checksum of the timeouts in the last reply
	hubEra      uint64            // era of the copy in the last reply
	hubKnown    mirror.Known      // PastKnown of the last reply
	withoutCopy int               // consecutive heartbeats that brought no copy, while this VM has none
}

// Machine is the mesh state machine of one VM. It does no input or output: Step
// takes events and returns actions. It is not safe for concurrent use.
type Machine struct {
	self              Node
	seeds             []string
	started           time.Time
	lastStep          time.Time
	members           map[fleet.VMID]*member
	heartbeats        map[string]*heartbeatState
	storeCopy         mirror.Mirror
	localDemand       []WorkspaceDemand
	prevLocalDemand   []WorkspaceDemand // the report before localDemand
	crashes           crashCounts
	localPressing     []callers.Pressing
	peerDemands       map[fleet.VMID]peerDemand // of VMs that send heartbeats to this one
	hubDemands        map[fleet.VMID]hubDemand  // as reported by hubs
	unresponsiveSince map[fleet.VMID]time.Time  // when VMs became unresponsive
	partitioned       bool                      // result of isPartitioned in the last step
	sharers           int                       // View.Sharers of the last view
	hubs              []Node                    // as of the last step
	heartbeatAddrs    []string                  // addresses that heartbeats go to, as of the last step
	fleetSize         int                       // number of VMs that a hub knows, while this VM knows the hubs only; else zero
	hubRank           int                       // position of this VM in the order of hub candidates
	readInFlight      bool                      // of the store
	needsListing      bool                      // the next read lists all entries
	nextReadAt        time.Time
	readFailures      int
	outage            outageEvidence
	alertPanel        bool           // the next heartbeats go to the panel too
	forwarded         mirror.Version // version of the store up to which changes were forwarded
	readFrom          mirror.Version // version after which the read in flight reads; zero for a listing
	eras              eraEvidence
	changeSeq         uint64 // number of the last change to members
	removals          []removal
	forgottenSeq      uint64        // change number up to which removals were dropped
	maxActive         int           // maximum number of VMs that callers are sent to
	active            []Node        // View.Active of the last view
	activeCount       int           // number of active VMs in the last view
	isActive          bool          // this VM is active in the last view
	wasBusy           bool          // result of isBusy in the last step
	answeredInterval  time.Duration // announced in the last heartbeat that was answered
	timeouts          routeTimeouts
	viewDirty         bool
	actions           []Action
}

// New returns the Machine of a VM that starts at now.
func New(now time.Time, s Settings) *Machine {
	m := &Machine{
		self: s.Self, seeds: s.Seeds, started: now, lastStep: now, nextReadAt: now,
		members: make(map[fleet.VMID]*member), heartbeats: make(map[string]*heartbeatState),
		peerDemands: make(map[fleet.VMID]peerDemand), hubDemands: make(map[fleet.VMID]hubDemand), unresponsiveSince: make(map[fleet.VMID]time.Time),
		storeCopy: mirror.New(s.Outlives), viewDirty: true,
	}
	m.heartbeatAddrs = m.chooseHeartbeatAddrs()
	return m
}

// Step handles one event and returns the actions that the caller has to perform.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.detectSuspension(now)
	m.detectOverdueRead(now)
	if now.Sub(m.lastStep) > minProcessPause {
		m.resumeAfterPause(now)
	}
	m.lastStep = now
	switch ev := ev.(type) {
	case Heartbeat:
		m.handleHeartbeat(now, ev)
	case HeartbeatAnswered:
		m.handleReply(now, ev)
	case HeartbeatFailed:
		m.handleHeartbeatFailed(now, ev)
	case StoreRead:
		m.handleStoreRead(now, ev)
	case StoreFailed:
		m.handleStoreFailed(now, ev)
	case Delta:
		m.handleDelta(now, ev)
	case ForwardFailed:
		m.handleForwardFailed(now, ev)
	case LocalDemand:
		m.prevLocalDemand, m.localDemand = m.localDemand, ev.Demand
		m.setCrashes(now, &m.crashes.local, ev.Crashes)
		m.localPressing = mergePressing(ev.Pressing)
		m.mergeTimeouts(ev.Timeouts)
	case Stopping:
		m.self.Phase = Leaving
		m.markSelfChanged(now)
	case SetSeeds:
		m.seeds = ev.Seeds
	case SetMaxActive:
		m.viewDirty = m.viewDirty || m.maxActive != ev.VMs
		m.maxActive = ev.VMs
	case Tick:
	}
	m.expire(now)
	m.updateBlocks(now)
	if m.readsFail() {
		m.outage.panel = choosePanel(m.stayingNodes())
		m.detectOutage(now)
	}
	m.announceStoreFailing(now)
	m.chooseHubs(now)
	if partitioned := m.isPartitioned(now); partitioned != m.partitioned {
		m.partitioned, m.viewDirty = partitioned, true
	}
	if m.viewDirty {
		m.viewDirty = false
		v := m.buildView(now)
		m.active, m.activeCount, m.isActive = v.Active, len(v.Active), v.IsActive()
		m.emit(ViewChanged{View: v})
	}
	m.sendHeartbeats(now)
	m.startRead(now)
	m.outage.wakeAt = later(m.Next(), now)
	return m.actions
}

// Next returns the time at which Step has to be called with Tick, unless another
// event comes before.
func (m *Machine) Next() time.Time {
	next := m.lastStep.Add(m.heartbeatInterval())
	for _, addr := range m.heartbeatAddrs {
		switch c := m.heartbeats[addr]; {
		case c == nil:
			return m.lastStep // the first heartbeat to that address is due
		case !c.inFlight:
			next = earlier(next, c.nextAt)
		}
	}
	if due := m.readOverdueAt(); !due.IsZero() {
		next = earlier(next, due)
	}
	if !m.readInFlight {
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

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// resumeAfterPause restarts the timeouts of all members. Their heartbeats could
// not be received while this process was suspended.
func (m *Machine) resumeAfterPause(now time.Time) {
	for _, peer := range m.members {
		peer.lastSeen = now
		peer.suspectUntil = time.Time{}
	}
	for _, c := range m.heartbeats {
		c.nextAt = now
	}
}
