package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// settleTime is longer than the time after which the allocator of a new
// coordinator does not ask for the shares of earlier ones any more.
const settleTime = 2 * grant.ShareTTL

// rangeMoveTime is how long a range may be on its way from a VM that leaves to
// its next holder: one heartbeat of each, and some.
const rangeMoveTime = 1200 * time.Millisecond

// setAllocator keeps an allocator with the configuration in force while this
// VM is coordinator. A new tenure begins with what this VM knows as a holder.
func (m *Machine) setAllocator(t lease.Leadership) {
	h := &m.hub
	c := m.order.Current()
	if t.Fraction == lease.None || c == nil {
		h.allocator = nil
		return
	}
	if h.allocator == nil {
		h.allocator, h.config = grant.NewAllocator(), nil
	}
	if h.config != c {
		began := h.config == nil
		h.config = c
		h.allocator.SetConfig(c)
		if began {
			h.allocator.Adopt(h.holder.Directory())
		}
	}
}

// fillForHub adds to a heartbeat what only the collecting VM needs.
func (m *Machine) fillForHub(now time.Time, to fleet.VM, hb *Heartbeat) {
	report := m.hub.holder.Report(now)
	hb.Ballot = m.hub.voter.Ballot(now, to.ID)
	hb.Fresh = m.fresh()
	hb.Report = &report
}

// fillReply adds to a reply what the collecting VM has for the sender of a
// heartbeat. A VM that is not the collecting one passes on the table that it
// has, for a sender that cannot reach the collecting one.
func (m *Machine) fillReply(now time.Time, hb *Heartbeat, r *HeartbeatReply) {
	r.ColdStart = m.hub.coldVMs[hb.From.ID]
	r.TableChange = m.tableChange(hb.TableChecksum)
	if hb.Report != nil && m.hub.allocator != nil {
		r.Grants = m.allocate(now, hb)
	}
}

// allocate answers the report of a VM, this one included.
func (m *Machine) allocate(now time.Time, hb *Heartbeat) *grant.Grants {
	h := &m.hub
	t := h.candidate.Leadership(now)
	vm := hb.From
	if m.leaving(vm.ID) {
		vm.State = fleet.Leaving
	}
	m.beginTenure(t)
	t.Unanimous = t.Unanimous && now.Sub(t.FullSince) < settleTime && m.allReported()
	g := h.allocator.Answer(now, grant.Input{
		Leadership: t, VM: vm, Report: *hb.Report,
		Fresh:         h.candidate.Fresh(hb.Ballot, t),
		ConfigCurrent: !m.behindMe(&hb.Status),

		Resigning: !h.resignAt.IsZero() && h.resignAt.Sub(now) < rangeMoveTime,
	})
	if !g.Resync {
		h.synced[vm.ID] = true
	}
	return &g
}

// beginTenure forgets who has reported its shares to an earlier tenure.
func (m *Machine) beginTenure(t lease.Leadership) {
	began := t.Since
	if t.Fraction == lease.Full {
		began = t.FullSince
	}
	if h := &m.hub; h.synced == nil || !began.Equal(h.tenure) {
		h.tenure, h.synced = began, make(map[fleet.VMID]bool)
	}
}

// allReported reports whether all VMs that can be alive were alive at one
// moment and all of them have reported their shares to this tenure. Counting
// reports alone is not enough: a VM that reported and died and its replacement
// count as two, and a third one with shares may not have reported.
func (m *Machine) allReported() bool {
	h := &m.hub
	var moment time.Time
	for _, r := range h.reports {
		moment = later(moment, r.first)
	}
	n := 1 // this VM
	for id, r := range h.reports {
		if h.synced[id] && !r.proof.Before(moment) {
			n++
		}
	}
	return n == m.maxVMs()
}

// behindMe reports whether a peer has an older text than this VM.
func (m *Machine) behindMe(s *Status) bool {
	c := m.order.Current()
	if c == nil || s.Revision != c.Revision {
		return c != nil && s.Revision < c.Revision
	}
	return s.Digest != c.Digest && !m.order.Behind(s.Revision, s.Digest)
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
		m.takeGrants(now, g)
		if !g.Resync {
			return
		}
	}
}

// fromHub takes the part of a reply that only the collecting VM sends.
func (m *Machine) fromHub(now time.Time, c *call, r *HeartbeatReply) {
	m.takeTable(now, c, r.TableChange)
	if r.ColdStart {
		m.beginCold(now)
	}
	if r.Grants == nil {
		return
	}
	m.takeGrants(now, r.Grants)
	m.sendUrgent(now)
}

// sendUrgent sends a complete report to a new coordinator without waiting for
// the next beat, at most once an interval.
func (m *Machine) sendUrgent(now time.Time) {
	hub := m.hubVM(now)
	if !m.hub.holder.NeedsResync() || hub.ID == m.self.ID || now.Sub(m.hub.resyncAt) <= heartbeatInterval {
		return
	}
	m.hub.resyncAt = now
	m.send(now, hub, true)
}

func (m *Machine) takeGrants(now time.Time, g *grant.Grants) {
	h := &m.hub
	before := h.holder.Directory().Digest()
	if h.holder.Accept(now, *g) {
		h.held = true
		m.needView = true
	}
	m.needView = m.needView || h.holder.Directory().Digest() != before
}

// applied notes that the tasks use a generation of shares. A VM that leaves
// tells the coordinator, or itself as coordinator, at once what it has given back.
func (m *Machine) applied(now time.Time, generation uint64) {
	gaveBack := m.hub.holder.Applied(generation)
	m.sendUrgent(now)
	if !gaveBack || m.self.State != fleet.Leaving {
		return
	}
	if hub := m.hubVM(now); hub.ID != m.self.ID {
		m.send(now, hub, true)
		return
	}
	m.allocateSelf(now)
}
