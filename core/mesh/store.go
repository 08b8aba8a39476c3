package mesh

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

// startRead starts a read of the store when one is due and none is in flight.
func (m *Machine) startRead(now time.Time) {
	if m.readInFlight {
		return
	}
	at := m.readDue()
	if at.IsZero() || now.Before(at) {
		return
	}
	m.readInFlight = true
	m.readFrom = m.storeCopy.Version()
	if m.needsListing {
		m.readFrom = mirror.Version{}
	}
	after, wait := m.readFrom.Revision, watchTimeout
	if m.isProbe(now) {
		wait = probeWait
	}
	m.outage.readStarted(now, wait, after == 0)
	m.emit(ReadStore{After: after, Wait: wait})
}

// readDue returns when this VM reads the store next; zero means never. The reader
// reads continuously. Another VM reads when its copy has not been confirmed for so
// long that either the reader can't reach the store or this VM can't reach the
// reader.
func (m *Machine) readDue() time.Time {
	if m.self.Phase == Leaving && m.hasCopy() {
		return time.Time{}
	}
	due := m.nextReadAt
	if !m.hasCopy() {
		return later(due, m.firstReadDue())
	}
	if m.isReader() {
		return due
	}
	fallback := m.fallbackReadDue()
	if probe := m.probeDue(); !probe.IsZero() {
		fallback = earlier(fallback, probe)
	}
	return later(due, fallback)
}

// fallbackReadDue returns when a VM that is not the reader, and has a copy, reads the
// store because the copy was not confirmed for too long.
func (m *Machine) fallbackReadDue() time.Time {
	if m.storeCopy.ConfirmedAt().IsZero() { // forwarded by another VM as a delta
		return m.firstReadDue()
	}
	return m.storeCopy.ConfirmedAt().Add(m.fallbackReadAge() + m.rankDelay())
}

// rankDelay returns how much longer than the first hub candidate this VM waits
// before it reads the store itself. It keeps all VMs from replacing a slow reader
// at once, since they share the reads that the platform allows. It is bounded for
// busy VMs, whose copy must not become too old to check keys.
func (m *Machine) rankDelay() time.Duration {
	rank := m.hubRank
	if m.isBusy() {
		rank = min(rank, maxFallbackReadRank)
	}
	return fallbackReadDelayPerRank * time.Duration(rank)
}

// firstReadDue returns when a VM without a copy reads the store. When all VMs
// start together, the first seed reads and the others get their copy from it,
// since a listing takes many calls in a large fleet. A VM that knows no other
// reads earlier, at a time derived from its id: the seeds may come back last.
func (m *Machine) firstReadDue() time.Time {
	if i := slices.Index(m.seeds, m.self.Peer); i >= 0 {
		return m.started.Add(initialHeartbeatInterval + time.Duration(i)*seedReadDelay)
	}
	if len(m.members) == 0 {
		return m.started.Add(noPeerReadDelay + hashJitter(noPeerReadJitter, m.self.ID))
	}
	if m.fleetSize > len(m.members)+1 { // the rank among a few hubs says nothing
		return m.started.Add(nonSeedReadDelay + hashJitter(time.Duration(m.fleetSize)*fallbackReadDelayPerRank, m.self.ID))
	}
	return m.started.Add(nonSeedReadDelay + m.rankDelay())
}

// hashJitter returns a fraction of d that depends on a VM's id.
func hashJitter(d time.Duration, id fleet.VMID) time.Duration {
	return time.Duration(float64(d) * float64(hashID(id)) / math.MaxUint32)
}

func hashID(id fleet.VMID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handleStoreRead merges the result of a read and forwards the changes.
func (m *Machine) handleStoreRead(now time.Time, ev StoreRead) {
	m.readInFlight = false
	m.nextReadAt = ev.Sent.Add(minReadInterval)
	if m.readFailures >= failuresBeforeUnreachable {
		m.emit(StoreRecovered{})
	}
	m.readFailures = 0
	m.setStoreDenied(now, false)
	if !m.acceptRead(now, ev.Update) {
		return
	}
	m.needsListing = false
	wasConfirmed := !m.storeCopy.ConfirmedAt().IsZero()
	m.noteStoreRead(now)
	m.applyRead(now, ev.Update)
	m.confirmCopy(ev.Update.Version(), completeAsOf(now, &ev))
	m.forwardChanges(now, wasConfirmed || m.isReader())
}

// completeAsOf returns a time at which the store had nothing newer than the
// result of a read. A watch that ended without a change was complete until its
// timeout.
func completeAsOf(now time.Time, ev *StoreRead) time.Time {
	countedWait := ev.Wait * countedWaitPercent / 100
	if len(ev.Update.Entries) == 0 && ev.Wait > 0 && now.Sub(ev.Sent) >= ev.Wait {
		return ev.Sent.Add(countedWait)
	}
	return ev.Sent
}

// countedWaitPercent is the percentage of a watch's timeout that has certainly
// passed on the store's clock too.
const countedWaitPercent = 95

// handleStoreFailed schedules the next read after a backoff. When the history is
// gone, the next read is a listing without delay.
func (m *Machine) handleStoreFailed(now time.Time, ev StoreFailed) {
	m.readInFlight = false
	if ev.Era > m.storeCopy.Version().Era && m.trustsEra(ev.Era) {
		m.needsListing = true
	}
	if ev.HistoryGone {
		m.needsListing = true
		m.nextReadAt = now
		return
	}
	m.noteReadFailed()
	backoff := min(initialStoreBackoff<<min(m.readFailures, 4), maxStoreBackoff)
	m.readFailures++
	m.nextReadAt = now.Add(backoff)
	if m.readFailures == failuresBeforeUnreachable {
		m.emit(StoreLost{Failures: m.readFailures})
		m.setStoreDenied(now, true)
	}
}

// setStoreDenied reports to the others whether this VM's reads of the store fail.
func (m *Machine) setStoreDenied(now time.Time, denied bool) {
	if m.self.StoreDenied == denied {
		return
	}
	m.self.StoreDenied = denied
	m.markSelfChanged(now)
}
