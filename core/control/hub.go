package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

const tableLogSize = 32 // tables against which changes can be sent

// hub is the state of the exchange with the collecting VM: the coordinator or,
// when there is none, the candidate that all vote for.
type hub struct {
	voter     *lease.Voter
	candidate *lease.Candidate
	claim     CoordinatorClaim // the best one known; Age is not used
	claimAt   time.Time
	tables    []*fleet.Table // newest last
	change    *fleet.TableChange
	reports   map[fleet.VMID]report
	cold      bool // all VMs that can be alive were, and none had held a share or counted a vote
	coldVMs   map[fleet.VMID]bool
	counted   bool      // a vote was counted
	held      bool      // a share was held
	resyncAt  time.Time // when a complete report was last sent out of turn
	holder    *grant.Holder
	allocator *grant.Allocator    // nil unless this VM is coordinator
	config    *config.Config      // that the allocator has
	tenure    time.Time           // when this VM's tenure began
	synced    map[fleet.VMID]bool // VMs that have reported their shares to it
	resignAt  time.Time           // when this VM, which leaves, gives up its office
}

// report is what a heartbeat to the collecting VM proves of its sender.
type report struct {
	first time.Time // when its first heartbeat arrived
	proof time.Time // a moment at which it was alive
	fresh bool      // at a moment not before proof
}

func newHub(now time.Time, self fleet.VMID) hub {
	return hub{
		voter: lease.NewVoter(now), candidate: lease.NewCandidate(now, self),
		holder:  grant.NewHolder(),
		reports: make(map[fleet.VMID]report),
	}
}

func (h *hub) claimFresh(now time.Time) bool {
	return h.claim.VM.ID != "" && now.Sub(h.claimAt) <= fleet.LivenessTimeout
}

// hubVM returns the VM to which this one sends its reports: the coordinator
// while it can be reached, otherwise the first VM that can be.
func (m *Machine) hubVM(now time.Time) fleet.VM {
	if m.hub.claimFresh(now) && (m.hub.claim.VM.ID == m.self.ID || !m.avoided(now, m.hub.claim.VM.ID)) {
		return m.hub.claim.VM
	}
	best := m.self
	for _, vm := range m.live {
		if vm.ID != m.self.ID && !m.avoided(now, vm.ID) && precedes(vm, best) {
			best = vm
		}
	}
	return best
}

// precedes orders candidates: serving VMs first, leaving ones last, then by id.
func precedes(a, b fleet.VM) bool {
	rank := map[fleet.VMState]int{fleet.Live: 0, fleet.Starting: 1, fleet.Leaving: 2}
	if rank[a.State] != rank[b.State] {
		return rank[a.State] < rank[b.State]
	}
	return a.ID < b.ID
}

// consider takes a claim that a peer knows, proved at a moment. Of two half
// coordinators that can reach each other, the one with the lower id stays. That
// a VM which leaves still is coordinator, only it can say.
func (m *Machine) consider(now time.Time, from fleet.VMID, c CoordinatorClaim, proof time.Time) {
	at := proof.Add(-c.Age)
	if c.VM.ID == "" || c.VM.ID == m.self.ID || c.Fraction == lease.None || now.Sub(at) > fleet.LivenessTimeout {
		return
	}
	if c.VM.ID != from && m.leaving(c.VM.ID) {
		return
	}
	h := &m.hub
	if h.claimFresh(now) && c.VM.ID != h.claim.VM.ID && !better(c, at, h.claim, h.claimAt) {
		return
	}
	if c.VM.ID != h.claim.VM.ID || at.After(h.claimAt) {
		h.claim, h.claimAt = c, at
	}
}

func better(a CoordinatorClaim, aAt time.Time, b CoordinatorClaim, bAt time.Time) bool {
	if a.Fraction != b.Fraction {
		return a.Fraction > b.Fraction
	}
	if a.Fraction == lease.Full {
		return aAt.After(bAt) // the other claim is that of an earlier coordinator
	}
	return a.VM.ID < b.VM.ID
}

func (m *Machine) leaving(id fleet.VMID) bool {
	vm, ok := m.byID.Find(id)
	return ok && vm.State == fleet.Leaving
}

// unlessOf drops the claim of a VM in a message to that VM, which knows better.
func (c CoordinatorClaim) unlessOf(id fleet.VMID) CoordinatorClaim {
	if c.VM.ID == id {
		return CoordinatorClaim{}
	}
	return c
}

// currentClaim is the claim that this VM passes on.
func (m *Machine) currentClaim(now time.Time) CoordinatorClaim {
	h := &m.hub
	if !h.claimFresh(now) {
		return CoordinatorClaim{}
	}
	c := h.claim
	c.Age = now.Sub(h.claimAt)
	return c
}

// vote gives this VM's vote to itself if it collects, and claims the office
// when the votes suffice.
func (m *Machine) vote(now time.Time) {
	h := &m.hub
	if c := m.order.Current(); c != nil {
		h.candidate.SetMaxVMs(now, c.Fleet.MaxVMs)
	}
	if m.maxVMs() == 1 {
		m.beginCold(now)
	}
	if m.hubVM(now).ID == m.self.ID {
		h.voter.RecordStamp(now, m.self.ID, h.candidate.Stamp(now))
		h.candidate.CountVote(now, m.self.ID, h.voter.Ballot(now, m.self.ID))
	}
	m.claimOffice(now)
}

// claimOffice makes this VM's own claim known, or withdraws it.
func (m *Machine) claimOffice(now time.Time) {
	h := &m.hub
	t := h.candidate.Leadership(now)
	own := CoordinatorClaim{VM: m.self, Fraction: t.Fraction}
	h.counted = h.counted || t.Votes > 0
	mine := h.claim.VM.ID == m.self.ID
	switch {
	case t.Fraction == lease.None && mine:
		h.claim, h.claimAt = CoordinatorClaim{}, time.Time{}
	case t.Fraction != lease.None && (mine || !h.claimFresh(now) || better(own, now, h.claim, h.claimAt)):
		h.claim, h.claimAt = own, now
	}
	m.setAllocator(t)
}

// peerLeaves releases the vote for a VM that has resigned.
func (m *Machine) peerLeaves(now time.Time, id fleet.VMID) {
	h := &m.hub
	h.voter.Release(id)
	h.candidate.DropVote(now, id)
	if h.claim.VM.ID == id {
		h.claim, h.claimAt = CoordinatorClaim{}, time.Time{}
	}
}

// collect computes the table on the collecting VM.
func (m *Machine) collect(now time.Time) {
	if m.hubVM(now).ID != m.self.ID {
		return
	}
	if m.byID.Checksum() == m.members.Table().Checksum() {
		return
	}
	m.members.SetTable(now, m.byID, time.Time{})
	m.keepTable(m.byID)
}

func (m *Machine) keepTable(t *fleet.Table) {
	h := &m.hub
	h.tables = append(h.tables, t)
	if len(h.tables) > tableLogSize {
		h.tables = append(h.tables[:0], h.tables[1:]...)
	}
	h.change = nil
	m.needView = true
}

// tableChange returns what turns the table with a sum into the current one,
// nil when it is the current one.
func (m *Machine) tableChange(sum uint64) *fleet.TableChange {
	current := m.members.Table()
	if sum == current.Checksum() {
		return nil
	}
	h := &m.hub
	if h.change != nil && h.change.BaseChecksum == sum {
		return h.change
	}
	var base *fleet.Table
	for _, t := range h.tables {
		if t.Checksum() == sum {
			base = t
		}
	}
	change := fleet.Diff(base, current)
	h.change = &change
	return h.change
}

// takeTable applies the collecting VM's table. A reply without a change
// confirms the table that the heartbeat named.
func (m *Machine) takeTable(now time.Time, c *call, change *fleet.TableChange) {
	current := m.members.Table()
	if change == nil {
		if c.table != 0 && c.table == current.Checksum() {
			m.members.SetTable(now, current, c.sentAt)
		}
		return
	}
	next, ok := current.Apply(*change)
	if !ok {
		return
	}
	m.members.SetTable(now, next, c.sentAt)
	m.keepTable(next)
	m.changed = true
}

// report takes what a heartbeat to this VM as the collecting one proves.
func (m *Machine) report(now time.Time, hb *Heartbeat, proof time.Time) {
	h := &m.hub
	h.candidate.CountVote(now, hb.From.ID, hb.Ballot)
	m.claimOffice(now)
	r, known := h.reports[hb.From.ID]
	if !known {
		r.first = now
	}
	if !proof.IsZero() {
		r.proof, r.fresh = proof, hb.Fresh
	}
	h.reports[hb.From.ID] = r
	if !h.cold && m.fresh() {
		m.checkCold(now)
	}
}

// fresh reports whether this incarnation never held a share and never counted a vote.
func (m *Machine) fresh() bool { return !m.hub.counted && !m.hub.held }

// checkCold detects the start of the whole fleet: all VMs that can be alive
// were alive at one moment, and after it each said that it had never held a
// share or counted a vote. Then no earlier incarnation's promise or share can
// matter, and nobody needs to wait for its end.
func (m *Machine) checkCold(now time.Time) {
	h := &m.hub
	var moment time.Time
	for _, r := range h.reports {
		moment = later(moment, r.first)
	}
	vms := make(map[fleet.VMID]bool)
	for id, r := range h.reports {
		if r.fresh && !r.proof.Before(moment) {
			vms[id] = true
		}
	}
	if len(vms)+1 == m.maxVMs() {
		h.coldVMs = vms
		m.beginCold(now)
	}
}

// beginCold lets this VM vote at once: it has promised nothing, and what an
// earlier incarnation promised no longer matters.
func (m *Machine) beginCold(now time.Time) {
	h := &m.hub
	if h.cold {
		return
	}
	h.cold = true
	m.needView = true
	wait := lease.VoteTTL + lease.MaxDrift(lease.VoteTTL)
	if now.Sub(m.started) >= wait {
		return // it may have promised its vote already, and must keep that promise
	}
	h.voter = lease.NewVoter(m.started.Add(-wait))
	for id, n := range m.beats.notes {
		if n.stamp > 0 {
			h.voter.RecordStamp(now, id, n.stamp)
		}
	}
}
