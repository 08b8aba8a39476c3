package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	fenceTimeout = 1500 * time.Millisecond // without contact with the configuration service or any peer
	maxGateWait  = 5 * time.Second         // how long the start gate waits for a serving peer while the configuration service answers
)

// gate is the state that decides whether this VM may serve. The start gate opens
// once. The fence is raised while this VM may be partitioned from the fleet or
// outdated, and lifted afterwards.
type gate struct {
	open          bool
	fenced        bool
	peerContactAt time.Time // latest time at which any peer is known to have been reachable
	servingPeerAt time.Time // when a serving peer last reported its revision
	watchesConfig bool      // this VM watches the configuration service
	readsList     bool      // this VM reads the VM list
	waitExpired   bool      // maxGateWait has passed since the start
}

// updateGate opens the start gate if it may open and raises or lifts the fence.
func (m *Machine) updateGate(now time.Time) {
	m.expireAnnouncements(now)
	m.gate.waitExpired = now.Sub(m.started) >= maxGateWait
	if !m.gate.open && m.canOpen(now) {
		m.gate.open = true
		if m.self.State == fleet.Starting {
			m.setState(now, fleet.Live)
			m.refresh(now)
		}
		m.needView = true
	}
	if fenced := m.isFenced(now); fenced != m.gate.fenced {
		m.gate.fenced = fenced
		m.needView = true
	}
}

// canOpen reports whether this VM's document is known to be no older than the
// one that the fleet serves with: it was compared with that of a serving peer,
// or no VM serves.
func (m *Machine) canOpen(now time.Time) bool {
	if m.revisions.Current() == nil || !m.documents.behindSince.IsZero() {
		return false
	}
	switch {
	case m.maxVMs() == 1, m.hub.coldStart:
		return true
	case !m.gate.servingPeerAt.IsZero():
		return true
	case m.service.firstReadAt.IsZero():
		return false
	case m.members.NoPeers(), m.members.AllStarting(now):
		return true
	}
	return m.gate.waitExpired
}

// nextGateChange returns when the gate or the fence changes without an event,
// zero if never.
func (m *Machine) nextGateChange() time.Time {
	if !m.gate.open && !m.gate.waitExpired {
		return m.started.Add(maxGateWait)
	}
	if !m.gate.open || m.gate.fenced {
		return time.Time{}
	}
	due := m.fenceAt()
	if !m.documents.behindSince.IsZero() {
		if at := m.documents.behindSince.Add(maxBehindTime); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	if due.IsZero() {
		return due
	}
	return due.Add(time.Nanosecond)
}

// fenceAt returns when this VM is fenced unless it reaches the service or a peer
// before; zero when it has no peers.
func (m *Machine) fenceAt() time.Time {
	if m.maxVMs() == 1 || m.members.NoPeers() {
		return time.Time{}
	}
	return later(m.started, later(m.service.lastReachedAt, m.gate.peerContactAt)).Add(fenceTimeout)
}

// isFenced reports whether this VM lost contact for too long or failed to get a
// newer document in time.
func (m *Machine) isFenced(now time.Time) bool {
	at := m.fenceAt()
	return !at.IsZero() && now.After(at) || m.isOutdated(now)
}

func (m *Machine) isServing(now time.Time) bool {
	return m.gate.open && m.self.State == fleet.Live && !m.isFenced(now)
}
