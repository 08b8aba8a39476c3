package mesh

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// A target's entry goes missing for one of two reasons: it was removed, or it lapsed
// because its target could not reach the store. Only the second kind is worth waiting
// for, and only two faults of the store cause it: an outage, and the return from an
// older copy, which the era of its answers shows. An old copy of this VM shows no
// outage: the reader may have been frozen or cut off, while the targets reached the
// store all the time. So the fleet decides by reads that were tried and not answered, of several VMs,
// since the copy was last confirmed. The VM that reads the store, or its new era, first
// decides, and tells the others together with the entries.

const (
	// outageWitnesses is the number of VMs whose reads must have failed. One or two
	// may have lost their own ways to the store. A smaller fleet needs all its VMs.
	outageWitnesses = 3
	// overdueAfter is the time beyond a watch's timeout after which the store does
	// not answer it.
	overdueAfter = 500 * time.Millisecond
	// lapseGrace is how long after an outage an entry may be missing: the platform
	// restores those of live targets within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// maxWakeDelay is the largest delay of a step. After a longer one this process
	// was suspended, and a read that was in flight says nothing about the store.
	maxWakeDelay = 500 * time.Millisecond
)

// outageEvidence is what a VM knows about outages of the store.
type outageEvidence struct {
	wakeAt       time.Time // when the next step was due, as of the last one
	judgedFrom   time.Time // start of the read in flight; zero if its duration or failure says nothing
	listing      bool      // the read in flight is a listing, which may take long
	failingSince time.Time // start of the first read that failed since the copy was last confirmed; zero for none
	awayAt       time.Time // when the store was found to be away, if it has answered nobody since; else zero
	regainedAt   time.Time // when the store was read again after its last outage, or first in its present era
}

// readStarted records the start of a read of the store.
func (o *outageEvidence) readStarted(now time.Time, listing bool) {
	o.judgedFrom, o.listing = now, listing
}

// detectSuspension disregards the read in flight if this process did not run for a
// while.
func (m *Machine) detectSuspension(now time.Time) {
	if !m.outage.wakeAt.IsZero() && now.Sub(m.outage.wakeAt) > maxWakeDelay {
		m.outage.judgedFrom = time.Time{}
	}
}

// readOverdueAt returns when the read in flight counts as not answered; zero for
// never, or if this VM's reads count as failing already.
func (m *Machine) readOverdueAt() time.Time {
	o := &m.outage
	if !m.readInFlight || o.listing || o.judgedFrom.IsZero() || !o.failingSince.IsZero() {
		return time.Time{}
	}
	return o.judgedFrom.Add(watchTimeout + overdueAfter)
}

// detectOverdueRead counts a read that is not answered in time as failed.
func (m *Machine) detectOverdueRead(now time.Time) {
	if due := m.readOverdueAt(); !due.IsZero() && !now.Before(due) {
		m.noteReadFailed(now)
	}
}

// noteReadFailed records that the read in flight failed.
func (m *Machine) noteReadFailed(now time.Time) {
	if o := &m.outage; o.failingSince.IsZero() {
		o.failingSince = o.judgedFrom
		m.detectOutage(now)
	}
}

// noteStoreRead records that the store was read, which ends an outage.
func (m *Machine) noteStoreRead(now time.Time) {
	if !m.outage.awayAt.IsZero() {
		m.outage.regainedAt = now
		m.emit(OutageEnded{CopyAge: now.Sub(m.storeCopy.ConfirmedAt()), Failed: m.failedVMs(), VMs: len(m.members) + 1})
	}
	m.outage.failingSince, m.outage.awayAt = time.Time{}, time.Time{}
}

// failedVMs returns the VMs whose reads are known to have failed since the copy was last
// confirmed, sorted.
func (m *Machine) failedVMs() []fleet.VMID {
	var failed []fleet.VMID
	if !m.outage.failingSince.IsZero() {
		failed = append(failed, m.self.ID)
	}
	for id, peer := range m.members {
		if peer.node.StoreFailing && peer.failingAt.After(m.storeCopy.ConfirmedAt()) {
			failed = append(failed, id)
		}
	}
	slices.Sort(failed)
	return failed
}

// forgetOldFailures drops what was known from before the last confirmation of the copy:
// a VM has read the store since. The same confirmation may come again, a little later
// each time, from other VMs.
func (m *Machine) forgetOldFailures() {
	o := &m.outage
	if m.storeCopy.ConfirmedAt().After(o.failingSince) {
		o.failingSince = time.Time{}
	}
	if m.storeCopy.ConfirmedAt().After(o.awayAt) {
		o.awayAt = time.Time{}
	}
}

// detectOutage finds the store away if enough VMs know of no answer since the copy was
// last confirmed.
func (m *Machine) detectOutage(now time.Time) {
	witnesses, needed := m.otherWitnesses(now)
	if !m.outage.failingSince.IsZero() {
		witnesses++
	}
	if m.outage.awayAt.IsZero() && witnesses >= needed {
		m.outage.awayAt = now
	}
}

// otherWitnesses returns the number of other VMs whose reads have failed since the copy
// was last confirmed, and how many VMs, this one included, show an outage.
func (m *Machine) otherWitnesses(now time.Time) (witnesses, needed int) {
	vms := 1
	for _, peer := range m.members {
		if peer.node.Phase == Leaving || now.Sub(peer.lastSeen) > m.memberTimeout(peer) {
			continue
		}
		vms++
		if peer.node.StoreFailing && peer.failingAt.After(m.storeCopy.ConfirmedAt()) {
			witnesses++
		}
	}
	return witnesses, min(outageWitnesses, vms)
}

// announceStoreFailing tells the others whether this VM's reads of the store fail. A
// failure that enough others report already is not announced, since in an outage the
// reads of a whole fleet fail.
func (m *Machine) announceStoreFailing(now time.Time) {
	failing := !m.outage.failingSince.IsZero()
	if failing == m.self.StoreFailing {
		return
	}
	if witnesses, needed := m.otherWitnesses(now); failing && witnesses >= needed {
		return
	}
	m.self.StoreFailing = failing
	m.markSelfChanged(now)
}

// noteStoreFailing records when this VM learned that the reads of another fail.
func (m *Machine) noteStoreFailing(now time.Time, peer *member, wasFailing bool) {
	if peer.node.StoreFailing && !wasFailing {
		peer.failingAt, peer.lastSeen = now, now
		m.detectOutage(now)
	}
}

// lapseEnd returns until when a missing entry may have lapsed, zero if it was removed.
func (m *Machine) lapseEnd(now time.Time) time.Time {
	if end := m.outage.regainedAt.Add(lapseGrace); !m.outage.regainedAt.IsZero() && now.Before(end) {
		return end
	}
	return time.Time{}
}

// regainedAge returns the time since the end of the last outage, zero if entries that
// lapsed in it are back by now.
func (m *Machine) regainedAge(now time.Time) time.Duration {
	if m.lapseEnd(now).IsZero() {
		return 0
	}
	return max(now.Sub(m.outage.regainedAt), 1)
}

// learnRegained merges another VM's regainedAge, as of the given time.
func (m *Machine) learnRegained(asOf time.Time, age time.Duration) {
	if at := asOf.Add(-age); age > 0 && at.After(m.outage.regainedAt) {
		m.outage.regainedAt = at
	}
}
