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
// store all the time. A few VMs whose reads fail show none either: they may have lost
// their own ways to the store. So the first failed read makes a panel of VMs read at
// once, and the store was away if three quarters of them fail since the copy was last
// confirmed. The VM that reads the store, or its new era, first decides, and tells the
// others together with the entries.

const (
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
	panel        []fleet.VMID  // VMs whose reads decide, as of the last step in which reads failed
	fleetSize    int           // number of VMs that this VM knew when the copy was last confirmed, without those whose processes have ended since
	wakeAt       time.Time     // when the next step was due, as of the last one
	judgedFrom   time.Time     // start of the read in flight; zero if its duration or failure says nothing
	readWait     time.Duration // timeout of the read in flight
	listing      bool          // the read in flight is a listing, which may take long
	failingSince time.Time     // start of the first read that failed since the copy was last confirmed; zero for none
	othersFail   bool          // the reads of another VM may have failed since then
	awayAt       time.Time     // when the store was found to be away, if it has answered nobody since; else zero
	regainedAt   time.Time     // when the store was read again after its last outage, or first in its present era
	outages      int           // outages that this VM was the first to find ended
	refuted      int           // times that it read the store while the reads of some others failed
}

// readStarted records the start of a read of the store.
func (o *outageEvidence) readStarted(now time.Time, wait time.Duration, listing bool) {
	o.judgedFrom, o.readWait, o.listing = now, wait, listing
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
	return o.judgedFrom.Add(o.readWait + overdueAfter)
}

// detectOverdueRead counts a read that is not answered in time as failed.
func (m *Machine) detectOverdueRead(now time.Time) {
	if due := m.readOverdueAt(); !due.IsZero() && !now.Before(due) {
		m.noteReadFailed()
	}
}

// noteReadFailed records that the read in flight failed.
func (m *Machine) noteReadFailed() {
	if m.outage.failingSince.IsZero() {
		m.outage.failingSince = m.outage.judgedFrom
	}
}

// noteStoreRead records that the store was read, which ends an outage, or shows that
// there is none although the reads of some VMs fail.
func (m *Machine) noteStoreRead(now time.Time) {
	o := &m.outage
	failed := m.failedVMs()
	switch copyAge := now.Sub(m.storeCopy.ConfirmedAt()); {
	case !o.awayAt.IsZero():
		o.regainedAt = now
		o.outages++
		m.emit(OutageEnded{CopyAge: copyAge, Failed: failed, Panel: len(o.panel)})
	case len(failed) > 0 && !slices.Equal(failed, []fleet.VMID{m.self.ID}):
		o.refuted++
		m.emit(OutageRefuted{CopyAge: copyAge, Failed: failed, Panel: len(o.panel)})
	}
	o.failingSince, o.awayAt = time.Time{}, time.Time{}
}

// failsToRead reports whether the reads of another VM are known to have failed since the
// copy was last confirmed.
func (m *Machine) failsToRead(peer *member) bool {
	return peer.failingAt.After(m.storeCopy.ConfirmedAt())
}

// failedVMs returns the VMs whose reads are known to have failed since the copy was last
// confirmed, sorted.
func (m *Machine) failedVMs() []fleet.VMID {
	var failed []fleet.VMID
	if !m.outage.failingSince.IsZero() {
		failed = append(failed, m.self.ID)
	}
	for id, peer := range m.members {
		if m.failsToRead(peer) {
			failed = append(failed, id)
		}
	}
	slices.Sort(failed)
	return failed
}

// copyConfirmed drops what was known from before the last confirmation of the copy: a VM
// has read the store since. The same confirmation may come again, a little later each
// time, from other VMs.
func (m *Machine) copyConfirmed() {
	o := &m.outage
	if m.storeCopy.ConfirmedAt().After(o.failingSince) {
		o.failingSince = time.Time{}
	}
	if m.storeCopy.ConfirmedAt().After(o.awayAt) {
		o.awayAt = time.Time{}
	}
	o.fleetSize = len(m.members) + 1
	o.othersFail = false
	for _, peer := range m.members {
		o.othersFail = o.othersFail || m.failsToRead(peer)
	}
}

// detectOutage finds the store away if enough VMs of the panel know of no answer since
// the copy was last confirmed. A VM that has lost touch with most of the fleet since then
// decides nothing: the others may read the store.
func (m *Machine) detectOutage(now time.Time) {
	if 2*(len(m.members)+1) <= m.outage.fleetSize {
		return
	}
	witnesses, needed := m.otherWitnesses(now)
	if !m.outage.failingSince.IsZero() && m.isPanelMember() {
		witnesses++
	}
	if m.outage.awayAt.IsZero() && witnesses >= needed {
		m.outage.awayAt = now
	}
}

// otherWitnesses returns the number of other VMs of the panel whose reads have failed
// since the copy was last confirmed, and how many VMs of the panel, this one included,
// show an outage.
func (m *Machine) otherWitnesses(now time.Time) (witnesses, needed int) {
	asked := 0
	for _, id := range m.outage.panel {
		peer := m.members[id]
		switch {
		case id == m.self.ID:
			asked++
		case peer == nil || peer.node.Phase == Leaving || now.Sub(peer.lastSeen) > m.memberTimeout(peer):
			// gone
		case m.failsToRead(peer):
			asked++
			witnesses++
		default:
			asked++
		}
	}
	return witnesses, neededWitnesses(asked)
}

// announceStoreFailing tells the others whether this VM's reads of the store fail. A
// failure is told to the panel without delay: in a large fleet the next heartbeats of its
// VMs are seconds away. One that enough others report already is not announced, since in
// an outage the reads of a whole fleet fail.
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
	m.alertPanel = failing
}

// noteStoreFailing records when this VM learned that the reads of another fail, given
// that VM's record before. A VM of an earlier build may report StoreDenied alone.
func (m *Machine) noteStoreFailing(now time.Time, peer *member, before Node) {
	after := peer.node
	switch {
	case before.StoreFailing && !after.StoreFailing:
		peer.failingAt = time.Time{}
	case after.StoreFailing && !before.StoreFailing, after.StoreDenied && !before.StoreDenied && !after.StoreFailing:
		peer.failingAt, peer.lastSeen = now, now
		m.outage.othersFail = true
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
