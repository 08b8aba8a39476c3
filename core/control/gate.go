package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	fenceAfter = 1500 * time.Millisecond // without service and peers
	gateWait   = 5 * time.Second         // for a serving peer, while the service answers
)

// gate decides whether this VM may serve: the start gate opens once, the fence
// closes and opens.
type gate struct {
	open    bool
	fenced  bool
	peerAt  time.Time // latest proof of contact with any VM
	serving time.Time // when a serving peer last told its revision
	watches bool      // this VM watches the service
	lists   bool      // this VM reads the list
	waited  bool      // gateWait has passed
}

func (m *Machine) updateGate(now time.Time) {
	m.updateTexts(now)
	m.gate.waited = now.Sub(m.started) >= gateWait
	if !m.gate.open && m.mayOpen(now) {
		m.gate.open = true
		if m.self.State == fleet.Starting {
			m.setState(now, fleet.Live)
			m.refresh(now)
		}
		m.needView = true
	}
	if fenced := m.fenced(now); fenced != m.gate.fenced {
		m.gate.fenced = fenced
		m.needView = true
	}
}

// mayOpen reports whether this VM knows that its text is not older than what
// the fleet serves with: a serving peer said so, or nobody serves.
func (m *Machine) mayOpen(now time.Time) bool {
	if m.order.Current() == nil || !m.texts.behind.IsZero() {
		return false
	}
	switch {
	case m.maxVMs() == 1, m.hub.cold:
		return true
	case !m.gate.serving.IsZero():
		return true
	case m.service.first.IsZero():
		return false
	case m.members.NoPeers(), m.members.AllStarting(now):
		return true
	}
	return m.gate.waited
}

// gateDue returns when the gate or the fence changes without an event.
func (m *Machine) gateDue() time.Time {
	if !m.gate.open && !m.gate.waited {
		return m.started.Add(gateWait)
	}
	if !m.gate.open || m.gate.fenced {
		return time.Time{}
	}
	due := m.fenceAt()
	if !m.texts.behind.IsZero() {
		if at := m.texts.behind.Add(behindLimit); due.IsZero() || at.Before(due) {
			due = at
		}
	}
	if due.IsZero() {
		return due
	}
	return due.Add(time.Nanosecond)
}

// fenceAt returns when this VM is fenced unless it hears something until then;
// zero when there is nobody to hear.
func (m *Machine) fenceAt() time.Time {
	if m.maxVMs() == 1 || m.members.NoPeers() {
		return time.Time{}
	}
	return later(m.started, later(m.service.at, m.gate.peerAt)).Add(fenceAfter)
}

func (m *Machine) fenced(now time.Time) bool {
	at := m.fenceAt()
	return !at.IsZero() && now.After(at) || m.outdated(now)
}

func (m *Machine) serving(now time.Time) bool {
	return m.gate.open && m.self.State == fleet.Live && !m.fenced(now)
}
