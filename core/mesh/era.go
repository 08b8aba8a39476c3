package mesh

import (
	"time"

	"github.com/anvilfork/anvilfork/core/mirror"
)

// The store's era increases by one each time that it returns from an older copy. A copy
// enters another era with a full update only, as revisions of two eras can't be
// compared. Answers of an older era were late, or are of the other side of a
// partition. An era that can't be right must not keep the fleet from the true store for
// long, so that every era is believed in the end if nothing else is read.

const (
	// maxEraStep is the largest increase that is believed at once. No store returned
	// from copies that many times between two reads.
	maxEraStep = 1 << 16
	// eraConfirmations is the number of reads in a row that must state an era that is
	// not believed at once.
	eraConfirmations = 3
	// lowerEraTime is the time over which these reads must state a lower era. Late
	// answers end before, as a read takes less than 3 s.
	lowerEraTime = 10 * time.Second
)

// StoreRewound reports that the store returned from an older copy, and that this VM
// reads or was told its new era.
type StoreRewound struct {
	From, To mirror.Version
	Kept     map[mirror.Reason]int // entries that are kept although the store lacks them or has them otherwise
}

// EraIgnored reports that an answer of the store was ignored because of its era.
type EraIgnored struct{ Known, Era uint64 }

func (StoreRewound) action() {}
func (EraIgnored) action()   {}

// eraEvidence is what a VM knows about eras that differ from that of its copy.
type eraEvidence struct {
	candidate uint64    // that the last reads stated, and that is not believed yet
	reads     int       // in a row that stated the candidate; zero for none
	since     time.Time // of the first of them
	discarded uint64    // messages of this era and later ones are ignored; zero for none
	enteredAt time.Time // when the copy entered its era
	rewinds   int       // of the copy that were reported
	ignored   int       // reads that were ignored because of their era
}

// judge counts a read that states an era, and reports whether to believe it, given the
// era of the copy. An era that is believed at once ends the count.
func (e *eraEvidence) judge(now time.Time, known, read uint64) bool {
	if read >= known && read-known <= maxEraStep {
		e.reads = 0
		return true
	}
	if e.reads == 0 || e.candidate != read {
		e.candidate, e.reads, e.since = read, 0, now
	}
	e.reads++
	return e.reads >= eraConfirmations && (read > known || now.Sub(e.since) >= lowerEraTime)
}

// acceptRead reports whether to apply what was read. Changes without those of before
// the new era are not applied: a listing follows.
func (m *Machine) acceptRead(now time.Time, u *mirror.Update) bool {
	known := m.storeCopy.Version().Era
	switch {
	case !m.eras.judge(now, known, u.Era):
		m.nextReadAt = now.Add(min(initialStoreBackoff<<min(m.eras.reads, maxIntervalDoublings), maxStoreBackoff))
		m.eras.ignored++
		m.viewDirty = true
		m.emit(EraIgnored{Known: known, Era: u.Era})
		return false
	case u.Full:
		return true
	case u.Era != known:
		m.needsListing = true
		m.nextReadAt = now
		return false
	}
	// While the read was in flight, another VM may have told of a new era.
	return m.readFrom.Era == known
}

// trustsEra reports whether to use what another VM tells of an era. One that is far
// above that of the copy has to be read from the store.
func (m *Machine) trustsEra(era uint64) bool {
	known := m.storeCopy.Version().Era
	return (m.eras.discarded == 0 || era < m.eras.discarded) && (era <= known || era-known <= maxEraStep)
}

// applyRead applies a read whose era was accepted. The first VM that reads a new era
// starts the time for which lost entries may be back.
func (m *Machine) applyRead(now time.Time, u *mirror.Update) {
	before := m.storeCopy.Version()
	if u.Era != before.Era && m.hasCopy() && !m.storeCopy.Continues(u) {
		m.outage.regainedAt = now
	}
	if u.Era < before.Era {
		m.eras.discarded = before.Era
		m.publishChanges(now, before, m.storeCopy.Rewind(u))
		return
	}
	m.applyUpdate(now, u, nil)
}

// noteEra records that the copy entered another era than that of the given version, or
// is the first one.
func (m *Machine) noteEra(now time.Time, before mirror.Version) {
	m.eras.enteredAt, m.eras.reads = now, 0
	after := m.storeCopy.Version()
	if after.Era >= m.eras.discarded {
		m.eras.discarded = 0
	}
	m.viewDirty = true
	if rewinds := m.storeCopy.Rewinds(); rewinds > m.eras.rewinds {
		m.eras.rewinds = rewinds
		m.emit(StoreRewound{From: before, To: after, Kept: m.storeCopy.Kept()})
	}
}
