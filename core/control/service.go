package control

import (
	"cmp"
	"time"

	"github.com/anvilfork/anvilfork/core/budget"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	watchTimeout         = 500 * time.Millisecond // an answered watch proves contact at its start only; the fence is raised 1.5 s after that
	minReadInterval      = 100 * time.Millisecond // bounds the call rate when the service answers without waiting
	minUnchangedBackoff  = 500 * time.Millisecond // after a document that changed nothing: stale, invalid or known
	maxUnchangedBackoff  = 4 * time.Second
	maxBackoffShift      = 8
	listInterval         = time.Second
	startingListInterval = 250 * time.Millisecond // until the start gate has opened
	maxAllWatch          = 16                     // in a fleet of up to this many live VMs all of them watch the service
	watchersPerZone      = 2
	serviceCallTimeout   = 5 * time.Second // a call that was not reported as ended by then counts as failed
)

// serviceCalls schedules this VM's calls to the configuration service and to the
// platform's VM list.
type serviceCalls struct {
	pacer          *budget.Pacer
	lastReachedAt  time.Time // start of the latest call that was answered
	firstReadAt    time.Time // when the first ReadConfig was answered
	readStartedAt  time.Time // start of the ReadConfig in progress; zero if there is none
	listStartedAt  time.Time // start of the ReadVMList in progress; zero if there is none
	nextReadAt     time.Time
	nextListAt     time.Time
	unchangedReads int // consecutive reads whose document changed nothing
}

// handleConfigRead offers the document to the revision tracker and backs off while
// the service returns documents that change nothing.
func (m *Machine) handleConfigRead(now time.Time, document []byte) {
	m.finishRead(now)
	s := &m.service
	if m.offerDocument(now, "service", document) {
		s.unchangedReads = 0
		return
	}
	s.nextReadAt = now.Add(min(minUnchangedBackoff<<min(s.unchangedReads, maxBackoffShift), maxUnchangedBackoff))
	s.unchangedReads++
}

func (m *Machine) handleConfigUnchanged(now time.Time) {
	m.finishRead(now)
	m.service.unchangedReads = 0
}

// finishRead ends a ReadConfig that was answered.
func (m *Machine) finishRead(now time.Time) {
	s := &m.service
	if s.firstReadAt.IsZero() {
		s.firstReadAt = now
	}
	m.recordReached(s.readStartedAt)
	s.readStartedAt, s.nextReadAt = time.Time{}, now.Add(minReadInterval)
}

// recordReached records that a call that began at startedAt was answered.
func (m *Machine) recordReached(startedAt time.Time) {
	if startedAt.After(m.service.lastReachedAt) {
		m.service.lastReachedAt = startedAt
	}
	m.service.pacer.Answered()
}

func (m *Machine) handleConfigFailure(now time.Time) {
	m.service.readStartedAt = time.Time{}
	m.service.pacer.Failed(now)
}

func (m *Machine) handleVMList(now time.Time, vms []fleet.VM) {
	m.recordReached(m.service.listStartedAt)
	m.finishListRead(now)
	if m.members.ApplyList(now, vms) {
		m.leave(now)
	}
	m.fleetChanged = true
	if !m.gate.open && len(m.live) == 1 {
		m.heartbeats.next = now // contact the VMs of the list without delay
	}
}

func (m *Machine) handleVMListFailure(now time.Time) {
	m.finishListRead(now)
	m.service.pacer.Failed(now)
}

func (m *Machine) finishListRead(now time.Time) {
	wait := listInterval
	if !m.gate.open {
		wait = startingListInterval
	}
	m.service.listStartedAt, m.service.nextListAt = time.Time{}, now.Add(wait)
}

// shouldWatch reports whether this VM is one of those that watch the configuration
// service: all VMs of a small fleet and those that know no document or no
// coordinator, otherwise the first watchersPerZone live VMs of each zone.
func (m *Machine) shouldWatch(now time.Time) bool {
	if m.revisions.Current() == nil || len(m.live) <= maxAllWatch || !m.hub.hasCurrentClaim(now) {
		return true
	}
	inZone := 0 // live VMs of this zone with a lower id
	for _, vm := range m.live {
		if vm.ID == m.self.ID {
			return inZone < watchersPerZone
		}
		if vm.Zone == m.self.Zone && vm.State == fleet.Live {
			inZone++
		}
	}
	return false
}

// shouldReadList reports whether this VM reads the VM list: the coordinator needs
// it, a starting VM finds its peers in it, and a VM that knows no coordinator finds
// the rest of the fleet in it.
func (m *Machine) shouldReadList(now time.Time) bool {
	if !m.gate.open && m.maxVMs() == 1 {
		return false
	}
	return !m.gate.open || len(m.live) <= maxAllWatch || !m.hub.hasCurrentClaim(now) || m.hub.claim.VM.ID == m.self.ID
}

// nextServiceCall returns when the next call is due, zero when none is.
func (m *Machine) nextServiceCall() time.Time {
	s := &m.service
	var due time.Time
	if s.readStartedAt.IsZero() && m.gate.watchesConfig {
		due = s.nextReadAt
	}
	if s.listStartedAt.IsZero() && m.gate.readsList && (due.IsZero() || s.nextListAt.Before(due)) {
		due = s.nextListAt
	}
	if s.readStartedAt.IsZero() && m.gate.watchesConfig || s.listStartedAt.IsZero() && m.gate.readsList {
		return later(due, later(s.pacer.Due(), m.started))
	}
	return time.Time{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startDueCalls starts the calls that are due, the more overdue one first.
func (m *Machine) startDueCalls(now time.Time) {
	s := &m.service
	m.gate.watchesConfig, m.gate.readsList = m.shouldWatch(now), m.shouldReadList(now)
	m.expireServiceCalls(now)
	read := m.gate.watchesConfig && s.readStartedAt.IsZero() && !now.Before(s.nextReadAt)
	list := m.gate.readsList && s.listStartedAt.IsZero() && !now.Before(s.nextListAt)
	listFirst := list && read && cmp.Compare(s.nextListAt.UnixNano(), s.nextReadAt.UnixNano()) < 0
	if list && listFirst && s.pacer.Take(now) {
		m.startListRead(now)
		list = false
	}
	if read && s.pacer.Take(now) {
		m.startConfigRead(now)
	}
	if list && s.pacer.Take(now) {
		m.startListRead(now)
	}
}

func (m *Machine) startConfigRead(now time.Time) {
	read := ReadConfig{}
	if c := m.revisions.Current(); c != nil {
		read = ReadConfig{After: c.Revision, Wait: watchTimeout}
	}
	m.service.readStartedAt = now
	m.emit(read)
}

func (m *Machine) startListRead(now time.Time) {
	m.service.listStartedAt = now
	m.emit(ReadVMList{})
}

// expireServiceCalls fails calls whose end was not reported within serviceCallTimeout.
func (m *Machine) expireServiceCalls(now time.Time) {
	s := &m.service
	if !s.readStartedAt.IsZero() && now.Sub(s.readStartedAt) > serviceCallTimeout {
		m.handleConfigFailure(now)
	}
	if !s.listStartedAt.IsZero() && now.Sub(s.listStartedAt) > serviceCallTimeout {
		m.handleVMListFailure(now)
	}
}
