package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// unanimityWindow bounds how long after its start a leadership may count as
// unanimous. By then the allocator has stopped waiting for shares that earlier
// coordinators granted.
const unanimityWindow = 2 * grant.ShareTTL

// rangeHandoverTime is how long a request-id range may take to move from a leaving
// VM to its next holder: one heartbeat interval of each and a margin.
const rangeHandoverTime = 1200 * time.Millisecond

// setAllocator gives this VM an allocator with the configuration in force while it
// is coordinator. A new allocator starts with the directory that this VM
// received as a holder of shares.
func (m *Machine) setAllocator(leadership lease.Leadership) {
	h := &m.hub
	c := m.revisions.Current()
	if leadership.Fraction == lease.None || c == nil {
		h.allocator = nil
		return
	}
	if h.allocator == nil {
		h.allocator, h.allocatorConfig = grant.NewAllocator(), nil
	}
	if h.allocatorConfig != c {
		began := h.allocatorConfig == nil
		h.allocatorConfig = c
		h.allocator.SetConfig(c)
		if began {
			h.allocator.AdoptDirectory(h.holder.Directory())
		}
	}
}

// fillForHub adds to a heartbeat what only the hub needs: the vote and the report.
func (m *Machine) fillForHub(now time.Time, to fleet.VM, hb *Heartbeat) {
	report := m.hub.holder.Report(now)
	hb.Ballot = m.hub.voter.Ballot(now, to.ID)
	hb.HasNoHistory = m.isFresh()
	hb.Report = &report
}

// fillReply adds to a reply what the hub has for the sender of a heartbeat. A VM
// that is not the hub sends the table that it has, for a sender that cannot reach
// the hub.
func (m *Machine) fillReply(now time.Time, hb *Heartbeat, r *HeartbeatReply) {
	r.ColdStart = m.hub.coldStartVMs[hb.From.ID]
	r.TableChange = m.tableChange(hb.TableChecksum)
	if hb.Report != nil && m.hub.allocator != nil {
		r.Grants = m.allocate(now, hb)
	}
}

// allocate returns the grants for the report of a VM, which may be this one.
func (m *Machine) allocate(now time.Time, hb *Heartbeat) *grant.Grants {
	h := &m.hub
	leadership := h.candidate.Leadership(now)
	vm := hb.From
	if m.isLeaving(vm.ID) {
		vm.State = fleet.Leaving
	}
	m.beginLeadership(leadership)
	leadership.Unanimous = leadership.Unanimous && now.Sub(leadership.FullSince) < unanimityWindow && m.allReported()
	g := h.allocator.Answer(now, grant.Input{
		Leadership: leadership, VM: vm, Report: *hb.Report,
		SentDuringLeadership: h.candidate.SentDuringLeadership(hb.Ballot, leadership),
		ConfigCurrent:        !m.isPeerOutdated(&hb.Status),

		Resigning: !h.resignAt.IsZero() && h.resignAt.Sub(now) < rangeHandoverTime,
	})
	if !g.Resync {
		h.synced[vm.ID] = true
	}
	return &g
}

// beginLeadership resets the set of VMs that have reported their shares when a new
// leadership has begun.
func (m *Machine) beginLeadership(leadership lease.Leadership) {
	began := leadership.Since
	if leadership.Fraction == lease.Full {
		began = leadership.FullSince
	}
	if h := &m.hub; h.synced == nil || !began.Equal(h.leadingSince) {
		h.leadingSince, h.synced = began, make(map[fleet.VMID]bool)
	}
}

// allReported reports whether all VMs that can be alive were alive at one
// moment and all of them have reported their shares to this leadership. Counting
// reports alone is not enough: a VM that reported and died and its replacement
// count as two, while a third one that holds shares may not have reported.
func (m *Machine) allReported() bool {
	h := &m.hub
	var moment time.Time
	for _, r := range h.reports {
		moment = later(moment, r.firstSeen)
	}
	reported := 1 // this VM
	for id, r := range h.reports {
		if h.synced[id] && !r.aliveAt.Before(moment) {
			reported++
		}
	}
	return reported == m.maxVMs()
}

// isPeerOutdated reports whether a peer has an older document than this VM, or the
// losing one of two with the same revision.
func (m *Machine) isPeerOutdated(s *Status) bool {
	c := m.revisions.Current()
	if c == nil || s.Revision != c.Revision {
		return c != nil && s.Revision < c.Revision
	}
	return s.Digest != c.Digest && !m.revisions.IsBehind(s.Revision, s.Digest)
}

// allocateSelf lets the coordinator take part in its own allocation. The
// allocator may first ask for a complete report.
func (m *Machine) allocateSelf(now time.Time) {
	for range 2 {
		if m.hub.allocator == nil {
			return
		}
		hb := Heartbeat{Status: m.status(now)}
		m.fillForHub(now, m.self, &hb)
		g := m.allocate(now, &hb)
		m.acceptGrants(now, g)
		if !g.Resync {
			return
		}
	}
}

// handleHubReply processes the part of a reply that only the hub sends.
func (m *Machine) handleHubReply(now time.Time, c *pendingCall, r *HeartbeatReply) {
	m.applyTable(now, c, r.TableChange)
	if r.ColdStart {
		m.beginColdStart(now)
	}
	if r.Grants == nil {
		return
	}
	m.acceptGrants(now, r.Grants)
	m.sendResync(now)
}

// sendResync sends a complete report to a new coordinator that asked for it,
// without waiting for the next heartbeat, at most once per interval.
func (m *Machine) sendResync(now time.Time) {
	hub := m.hubVM(now)
	if !m.hub.holder.NeedsResync() || hub.ID == m.self.ID || now.Sub(m.hub.resyncAt) <= heartbeatInterval {
		return
	}
	m.hub.resyncAt = now
	m.sendHeartbeat(now, hub, true)
}

// acceptGrants applies the grants of a coordinator to the shares of this VM.
func (m *Machine) acceptGrants(now time.Time, g *grant.Grants) {
	h := &m.hub
	before := h.holder.Directory().Digest()
	if h.holder.Accept(now, *g) {
		h.heldShare = true
		m.needView = true
	}
	m.needView = m.needView || h.holder.Directory().Digest() != before
}

// handleSharesApplied records that the tasks work with a generation of shares. A
// leaving VM reports the shares that it has thereby returned at once, to the
// coordinator or, as coordinator, to its own allocator.
func (m *Machine) handleSharesApplied(now time.Time, generation uint64) {
	returned := m.hub.holder.MarkApplied(generation)
	m.sendResync(now)
	if !returned || m.self.State != fleet.Leaving {
		return
	}
	if hub := m.hubVM(now); hub.ID != m.self.ID {
		m.sendHeartbeat(now, hub, true)
		return
	}
	m.allocateSelf(now)
}
