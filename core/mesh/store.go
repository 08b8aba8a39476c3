package mesh

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// read starts a read of the store when one is due.
func (m *Machine) read(now time.Time) {
	if m.reading {
		return
	}
	at := m.readDue()
	if at.IsZero() || now.Before(at) {
		return
	}
	m.reading = true
	after := m.copied.Revision()
	if m.relist {
		after = 0
	}
	m.emit(ReadStore{After: after, Wait: watchWait})
}

// readDue returns when this VM reads the store next; zero means never. The first
// hub reads all the time. Another VM reads when its copy has not been confirmed
// for so long that the reader must have lost the store, or this VM the reader.
func (m *Machine) readDue() time.Time {
	if m.self.Phase == Leaving && m.copied.Revision() > 0 {
		return time.Time{}
	}
	due := m.readAt
	if m.copied.Revision() == 0 {
		return later(due, m.firstRead())
	}
	if m.isReader() {
		return due
	}
	if m.copied.ConfirmedAt().IsZero() { // passed on by another VM
		return later(due, m.firstRead())
	}
	return later(due, m.copied.ConfirmedAt().Add(m.ownReadAge()+m.turn()))
}

// turn is how much longer than the first in rank this VM waits before it reads
// the store itself. A slow reader is not replaced by all VMs at once: they share
// the reads that the platform allows. One with callers does not wait until its
// copy is too old for keys.
func (m *Machine) turn() time.Duration {
	rank := m.rank
	if m.busy() {
		rank = min(rank, ownReadRanks)
	}
	return ownReadPerRank * time.Duration(rank)
}

// firstRead returns when a VM without a copy reads the store. When all VMs
// start together, the first seed reads and the others learn from it; a listing
// takes many calls in a large fleet. A VM that hears of no other reads earlier,
// each at a time of its own: the seeds may come back last.
func (m *Machine) firstRead() time.Time {
	if i := slices.Index(m.seeds, m.self.Peer); i >= 0 {
		return m.started.Add(startInterval + time.Duration(i)*seedHold)
	}
	if len(m.members) == 0 {
		return m.started.Add(aloneHold + spreadOver(aloneSpread, string(m.self.ID)))
	}
	return m.started.Add(startHold + m.turn())
}

// spreadOver returns a part of d that depends on a VM's id.
func spreadOver(d time.Duration, id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return time.Duration(float64(d) * float64(h.Sum32()) / math.MaxUint32)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) storeRead(now time.Time, ev StoreRead) {
	m.reading = false
	m.readAt = ev.Sent.Add(watchSpacing)
	m.relist = false
	if m.readFails >= denyAfter {
		m.emit(StoreRecovered{})
	}
	m.readFails = 0
	m.setDenied(now, false)
	m.apply(ev.Update)
	m.confirm(ev.Update.Revision, completeAt(now, &ev))
	m.passOn(now)
}

// completeAt returns a time at which the store had nothing newer than an
// answer. A watch that ended without a change had none until its wait was over.
func completeAt(now time.Time, ev *StoreRead) time.Time {
	waited := ev.Wait * waitCounted / 100
	if len(ev.Update.Entries) == 0 && ev.Wait > 0 && now.Sub(ev.Sent) >= ev.Wait {
		return ev.Sent.Add(waited)
	}
	return ev.Sent
}

// waitCounted is the part of a watch's wait, in percent, that is sure to have
// passed on the store's clock too.
const waitCounted = 95

func (m *Machine) storeFailed(now time.Time, ev StoreFailed) {
	m.reading = false
	if ev.HistoryGone {
		m.relist = true
		m.readAt = now
		return
	}
	wait := min(storeBackOff<<min(m.readFails, 4), storeBackMax)
	m.readFails++
	m.readAt = now.Add(wait)
	if m.readFails == denyAfter {
		m.emit(StoreLost{Failures: m.readFails})
		m.setDenied(now, true)
	}
}

func (m *Machine) setDenied(now time.Time, denied bool) {
	if m.self.StoreDenied == denied {
		return
	}
	m.self.StoreDenied = denied
	m.selfChanged(now)
}
