package control

import (
	"cmp"
	"time"

	"github.com/anvilfork/anvilfork/core/budget"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	watchWait        = 500 * time.Millisecond // a watch proves contact from its start on; the fence closes 1.5 s later
	watchGap         = 100 * time.Millisecond // bounds the calls when the service does not wait
	firstUselessWait = 500 * time.Millisecond // after a text that changed nothing: stale, invalid or known
	maxUselessWait   = 4 * time.Second
	maxUselessShift  = 8
	listInterval     = time.Second
	listStartingWait = 250 * time.Millisecond // until the start gate has opened
	allWatch         = 16                     // up to this many VMs all of them watch
	watchersPerZone  = 2
	callLost         = 5 * time.Second // longest call to the service
)

// service paces this VM's calls to the configuration service and its list.
type service struct {
	pacer    *budget.Pacer
	at       time.Time // start of the last call that was answered
	first    time.Time // when a ReadConfig was first answered
	reading  time.Time // start of the ReadConfig under way; zero if none is
	listing  time.Time // the same for ReadVMList
	nextRead time.Time
	nextList time.Time
	useless  int // texts in a row that changed nothing
}

func (m *Machine) serviceText(now time.Time, text []byte) {
	m.readAnswered(now)
	s := &m.service
	if m.offer(now, "service", text) {
		s.useless = 0
		return
	}
	s.nextRead = now.Add(min(firstUselessWait<<min(s.useless, maxUselessShift), maxUselessWait))
	s.useless++
}

func (m *Machine) serviceAnswered(now time.Time) {
	m.readAnswered(now)
	m.service.useless = 0
}

func (m *Machine) readAnswered(now time.Time) {
	s := &m.service
	if s.first.IsZero() {
		s.first = now
	}
	m.reached(s.reading)
	s.reading, s.nextRead = time.Time{}, now.Add(watchGap)
}

// reached notes that a call that began at a moment was answered.
func (m *Machine) reached(began time.Time) {
	if began.After(m.service.at) {
		m.service.at = began
	}
	m.service.pacer.Answered()
}

func (m *Machine) serviceFailed(now time.Time) {
	m.service.reading = time.Time{}
	m.service.pacer.Failed(now)
}

func (m *Machine) listRead(now time.Time, vms []fleet.VM) {
	m.reached(m.service.listing)
	m.listEnded(now)
	if m.members.ApplyList(now, vms) {
		m.leave(now)
	}
	m.changed = true
	if !m.gate.open && len(m.live) == 1 {
		m.beats.next = now // contact the VMs of the list without delay
	}
}

func (m *Machine) listFailed(now time.Time) {
	m.listEnded(now)
	m.service.pacer.Failed(now)
}

func (m *Machine) listEnded(now time.Time) {
	wait := listInterval
	if !m.gate.open {
		wait = listStartingWait
	}
	m.service.listing, m.service.nextList = time.Time{}, now.Add(wait)
}

// watches reports whether this VM is one of those that watch the service.
func (m *Machine) watches(now time.Time) bool {
	if m.order.Current() == nil || len(m.live) <= allWatch || !m.hub.claimFresh(now) {
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

// readsList reports whether this VM reads the list: the collecting VM needs
// it, a starting VM looks for its peers in it, and a VM without coordinator
// looks for the rest of the fleet.
func (m *Machine) readsList(now time.Time) bool {
	if !m.gate.open && m.maxVMs() == 1 {
		return false
	}
	return !m.gate.open || len(m.live) <= allWatch || !m.hub.claimFresh(now) || m.hub.claim.VM.ID == m.self.ID
}

// serviceDue returns when the next call is due, zero when none is.
func (m *Machine) serviceDue() time.Time {
	s := &m.service
	var due time.Time
	if s.reading.IsZero() && m.gate.watches {
		due = s.nextRead
	}
	if s.listing.IsZero() && m.gate.lists && (due.IsZero() || s.nextList.Before(due)) {
		due = s.nextList
	}
	if s.reading.IsZero() && m.gate.watches || s.listing.IsZero() && m.gate.lists {
		return later(due, later(s.pacer.Due(), m.started))
	}
	return time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// callService begins the calls that are due, the more overdue one first.
func (m *Machine) callService(now time.Time) {
	s := &m.service
	m.gate.watches, m.gate.lists = m.watches(now), m.readsList(now)
	m.dropLostCalls(now)
	read := m.gate.watches && s.reading.IsZero() && !now.Before(s.nextRead)
	list := m.gate.lists && s.listing.IsZero() && !now.Before(s.nextList)
	listFirst := list && read && cmp.Compare(s.nextList.UnixNano(), s.nextRead.UnixNano()) < 0
	if list && listFirst && s.pacer.Take(now) {
		m.readList(now)
		list = false
	}
	if read && s.pacer.Take(now) {
		m.readConfig(now)
	}
	if list && s.pacer.Take(now) {
		m.readList(now)
	}
}

func (m *Machine) readConfig(now time.Time) {
	read := ReadConfig{}
	if c := m.order.Current(); c != nil {
		read = ReadConfig{After: c.Revision, Wait: watchWait}
	}
	m.service.reading = now
	m.emit(read)
}

func (m *Machine) readList(now time.Time) {
	m.service.listing = now
	m.emit(ReadVMList{})
}

// dropLostCalls ends calls whose end was never reported.
func (m *Machine) dropLostCalls(now time.Time) {
	s := &m.service
	if !s.reading.IsZero() && now.Sub(s.reading) > callLost {
		m.serviceFailed(now)
	}
	if !s.listing.IsZero() && now.Sub(s.listing) > callLost {
		m.listFailed(now)
	}
}
