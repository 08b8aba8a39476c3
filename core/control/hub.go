package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

const maxRecentTables = 32 // past tables of live VMs against which a change can be sent

// hub is the state of the election and of the exchange with the hub, the VM that
// collects the reports of the fleet: the coordinator or, when there is none, the
// candidate that all vote for.
type hub struct {
	voter           *lease.Voter
	candidate       *lease.Candidate
	claim           CoordinatorClaim // the best claim known; its Age is not used
	claimedAt       time.Time
	recentTables    []*fleet.Table     // tables that were current lately, newest last
	lastChange      *fleet.TableChange // the last change computed to the current table; nil if none was
	reports         map[fleet.VMID]hubReport
	coldStart       bool                // this is a cold start of the whole fleet, see detectColdStart
	coldStartVMs    map[fleet.VMID]bool // the other VMs of the cold start that this VM detected
	countedVote     bool                // this incarnation has counted a vote
	heldShare       bool                // this incarnation has held a share
	resyncAt        time.Time           // when a complete report was last sent between two intervals
	holder          *grant.Holder
	allocator       *grant.Allocator    // nil unless this VM is coordinator
	allocatorConfig *config.Config      // that the allocator uses
	leadingSince    time.Time           // when the leadership that synced belongs to began
	synced          map[fleet.VMID]bool // VMs that have reported their shares to this leadership
	resignAt        time.Time           // when this VM, which is leaving, resigns as coordinator; zero if it need not
}

// hubReport is what the heartbeats to this VM as hub show of their sender.
type hubReport struct {
	firstSeen time.Time // when its first heartbeat arrived
	aliveAt   time.Time // a time at which it was alive
	fresh     bool      // it had held no share and counted no vote at a time not before aliveAt
}

func newHub(now time.Time, self fleet.VMID) hub {
	return hub{
		voter: lease.NewVoter(now), candidate: lease.NewCandidate(now, self),
		holder:  grant.NewHolder(),
		reports: make(map[fleet.VMID]hubReport),
	}
}

// hasCurrentClaim reports whether a coordinator is known whose claim has not
// timed out.
func (h *hub) hasCurrentClaim(now time.Time) bool {
	return h.claim.VM.ID != "" && now.Sub(h.claimedAt) <= fleet.LivenessTimeout
}

// hubVM returns the VM that this one reports to: the coordinator while it is
// reachable, otherwise the first reachable VM in the order of precedes.
func (m *Machine) hubVM(now time.Time) fleet.VM {
	if m.hub.hasCurrentClaim(now) && (m.hub.claim.VM.ID == m.self.ID || !m.isAvoided(now, m.hub.claim.VM.ID)) {
		return m.hub.claim.VM
	}
	best := m.self
	for _, vm := range m.live {
		if vm.ID != m.self.ID && !m.isAvoided(now, vm.ID) && precedes(vm, best) {
			best = vm
		}
	}
	return best
}

// precedes orders candidates: live VMs first, leaving ones last, then by id.
func precedes(a, b fleet.VM) bool {
	rank := map[fleet.VMState]int{fleet.Live: 0, fleet.Starting: 1, fleet.Leaving: 2}
	if rank[a.State] != rank[b.State] {
		return rank[a.State] < rank[b.State]
	}
	return a.ID < b.ID
}

// considerClaim processes a claim reported by a peer that was alive at aliveAt.
// Of two coordinators with half of the limits that reach each other, the one with
// the lower id stays. That a leaving VM is still coordinator is accepted only
// from that VM itself.
func (m *Machine) considerClaim(now time.Time, from fleet.VMID, c CoordinatorClaim, aliveAt time.Time) {
	at := aliveAt.Add(-c.Age)
	if c.VM.ID == "" || c.VM.ID == m.self.ID || c.Fraction == lease.None || now.Sub(at) > fleet.LivenessTimeout {
		return
	}
	if c.VM.ID != from && m.isLeaving(c.VM.ID) {
		return
	}
	h := &m.hub
	if h.hasCurrentClaim(now) && c.VM.ID != h.claim.VM.ID && !supersedes(c, at, h.claim, h.claimedAt) {
		return
	}
	if c.VM.ID != h.claim.VM.ID || at.After(h.claimedAt) {
		h.claim, h.claimedAt = c, at
	}
}

// supersedes reports whether claim a, made at aAt, replaces claim b, made at bAt.
func supersedes(a CoordinatorClaim, aAt time.Time, b CoordinatorClaim, bAt time.Time) bool {
	if a.Fraction != b.Fraction {
		return a.Fraction > b.Fraction
	}
	if a.Fraction == lease.Full {
		return aAt.After(bAt) // the older claim is that of an earlier coordinator
	}
	return a.VM.ID < b.VM.ID
}

func (m *Machine) isLeaving(id fleet.VMID) bool {
	vm, ok := m.byID.Find(id)
	return ok && vm.State == fleet.Leaving
}

// withoutVM returns the claim, or none if it is that of a VM. A message to a VM
// does not report that VM's own claim, which it knows better.
func (c CoordinatorClaim) withoutVM(id fleet.VMID) CoordinatorClaim {
	if c.VM.ID == id {
		return CoordinatorClaim{}
	}
	return c
}

// currentClaim returns the claim that this VM reports, zero when it knows none.
func (m *Machine) currentClaim(now time.Time) CoordinatorClaim {
	h := &m.hub
	if !h.hasCurrentClaim(now) {
		return CoordinatorClaim{}
	}
	c := h.claim
	c.Age = now.Sub(h.claimedAt)
	return c
}

// vote gives this VM's vote to itself if it is the hub, and makes it coordinator
// when its votes suffice.
func (m *Machine) vote(now time.Time) {
	h := &m.hub
	if c := m.revisions.Current(); c != nil {
		h.candidate.SetMaxVMs(now, c.Fleet.MaxVMs)
	}
	if m.maxVMs() == 1 {
		m.beginColdStart(now)
	}
	if m.hubVM(now).ID == m.self.ID {
		h.voter.RecordStamp(now, m.self.ID, h.candidate.Stamp(now))
		h.candidate.CountVote(now, m.self.ID, h.voter.Ballot(now, m.self.ID))
	}
	m.updateClaim(now)
}

// updateClaim makes this VM's own claim known, or withdraws it, and starts or
// stops its allocator.
func (m *Machine) updateClaim(now time.Time) {
	h := &m.hub
	leadership := h.candidate.Leadership(now)
	ownClaim := CoordinatorClaim{VM: m.self, Fraction: leadership.Fraction}
	h.countedVote = h.countedVote || leadership.Votes > 0
	isCoordinator := h.claim.VM.ID == m.self.ID
	switch {
	case leadership.Fraction == lease.None && isCoordinator:
		h.claim, h.claimedAt = CoordinatorClaim{}, time.Time{}
	case leadership.Fraction != lease.None && (isCoordinator || !h.hasCurrentClaim(now) || supersedes(ownClaim, now, h.claim, h.claimedAt)):
		h.claim, h.claimedAt = ownClaim, now
	}
	m.setAllocator(leadership)
}

// handleResignation releases this VM's vote for a leaving VM that is not
// coordinator any more, and drops that VM's vote and claim.
func (m *Machine) handleResignation(now time.Time, id fleet.VMID) {
	h := &m.hub
	h.voter.Release(id)
	h.candidate.DropVote(now, id)
	if h.claim.VM.ID == id {
		h.claim, h.claimedAt = CoordinatorClaim{}, time.Time{}
	}
}

// updateTable sets the table of live VMs if this VM is the hub.
func (m *Machine) updateTable(now time.Time) {
	if m.hubVM(now).ID != m.self.ID {
		return
	}
	if m.byID.Checksum() == m.members.Table().Checksum() {
		return
	}
	m.members.SetTable(now, m.byID, time.Time{})
	m.recordTable(m.byID)
}

// recordTable keeps a new current table as a base for later changes.
func (m *Machine) recordTable(t *fleet.Table) {
	h := &m.hub
	h.recentTables = append(h.recentTables, t)
	if len(h.recentTables) > maxRecentTables {
		h.recentTables = append(h.recentTables[:0], h.recentTables[1:]...)
	}
	h.lastChange = nil
	m.needView = true
}

// tableChange returns the change from the table with a checksum to the current
// one, nil when that is the current one.
func (m *Machine) tableChange(checksum uint64) *fleet.TableChange {
	current := m.members.Table()
	if checksum == current.Checksum() {
		return nil
	}
	h := &m.hub
	if h.lastChange != nil && h.lastChange.BaseChecksum == checksum {
		return h.lastChange
	}
	var base *fleet.Table
	for _, t := range h.recentTables {
		if t.Checksum() == checksum {
			base = t
		}
	}
	change := fleet.Diff(base, current)
	h.lastChange = &change
	return h.lastChange
}

// applyTable applies the hub's table. A reply without a change confirms the table
// whose checksum the heartbeat carried.
func (m *Machine) applyTable(now time.Time, c *pendingCall, change *fleet.TableChange) {
	current := m.members.Table()
	if change == nil {
		if c.tableChecksum != 0 && c.tableChecksum == current.Checksum() {
			m.members.SetTable(now, current, c.sentAt)
		}
		return
	}
	next, ok := current.Apply(*change)
	if !ok {
		return
	}
	m.members.SetTable(now, next, c.sentAt)
	m.recordTable(next)
	m.fleetChanged = true
}

// handleReport processes the vote and the history in a heartbeat to this VM as
// hub. The sender was alive at aliveAt, or at an unknown time if aliveAt is zero.
func (m *Machine) handleReport(now time.Time, hb *Heartbeat, aliveAt time.Time) {
	h := &m.hub
	h.candidate.CountVote(now, hb.From.ID, hb.Ballot)
	m.updateClaim(now)
	r, known := h.reports[hb.From.ID]
	if !known {
		r.firstSeen = now
	}
	if !aliveAt.IsZero() {
		r.aliveAt, r.fresh = aliveAt, hb.HasNoHistory
	}
	h.reports[hb.From.ID] = r
	if !h.coldStart && m.isFresh() {
		m.detectColdStart(now)
	}
}

// isFresh reports whether this incarnation never held a share and never counted a vote.
func (m *Machine) isFresh() bool { return !m.hub.countedVote && !m.hub.heldShare }

// detectColdStart detects the start of the whole fleet: all VMs that can be alive
// were alive at one moment, and after it each reported that it had never held a
// share or counted a vote. Then no promise or share of an earlier incarnation can
// matter, and no VM needs to wait for its expiry.
func (m *Machine) detectColdStart(now time.Time) {
	h := &m.hub
	var moment time.Time
	for _, r := range h.reports {
		moment = later(moment, r.firstSeen)
	}
	vms := make(map[fleet.VMID]bool)
	for id, r := range h.reports {
		if r.fresh && !r.aliveAt.Before(moment) {
			vms[id] = true
		}
	}
	if len(vms)+1 == m.maxVMs() {
		h.coldStartVMs = vms
		m.beginColdStart(now)
	}
}

// beginColdStart lets this VM vote at once: it has promised nothing, and the
// promises of an earlier incarnation no longer matter.
func (m *Machine) beginColdStart(now time.Time) {
	h := &m.hub
	if h.coldStart {
		return
	}
	h.coldStart = true
	m.needView = true
	promiseTTL := lease.VoteTTL + lease.MaxDrift(lease.VoteTTL)
	if now.Sub(m.started) >= promiseTTL {
		return // it may have promised its vote already and must keep that promise
	}
	h.voter = lease.NewVoter(m.started.Add(-promiseTTL))
	for id, peer := range m.heartbeats.peers {
		if peer.stamp > 0 {
			h.voter.RecordStamp(now, id, peer.stamp)
		}
	}
}
