package mesh

import (
	"time"

	"github.com/anvilfork/anvilfork/core/mirror"
)

// hasCopy reports whether this VM has a copy of the store.
func (m *Machine) hasCopy() bool { return !m.storeCopy.Version().IsZero() }

// applyUpdate merges an update into the copy of the store, and what another copy of
// the update's era keeps of earlier ones, which may be nil.
func (m *Machine) applyUpdate(now time.Time, u *mirror.Update, past *mirror.Past) {
	before := m.storeCopy.Version()
	changed := m.storeCopy.Apply(u)
	if past != nil && u.Era == m.storeCopy.Version().Era {
		changed = append(changed, m.storeCopy.MergePast(past)...)
	}
	m.publishChanges(now, before, changed)
}

// publishChanges publishes changes of the copy of the store, which was of the given
// version before. The first copy ends the phase Starting.
func (m *Machine) publishChanges(now time.Time, before mirror.Version, changed []mirror.Entry) {
	if m.storeCopy.Version().Era != before.Era || before.IsZero() {
		m.noteEra(now, before)
	}
	if len(changed) > 0 {
		m.emit(EntriesChanged{Entries: changed, Era: m.storeCopy.Version().Era, LapseEnd: m.lapseEnd(now)})
	}
	if m.self.Phase == Starting && m.hasCopy() {
		m.self.Phase = Serving
		m.markSelfChanged(now)
	}
}

// confirmCopy records that a copy of version asOf was complete at a time.
func (m *Machine) confirmCopy(asOf mirror.Version, at time.Time) {
	before := m.storeCopy.ConfirmedAt()
	m.storeCopy.Confirm(asOf, at)
	if m.storeCopy.ConfirmedAt().After(before) {
		m.viewDirty = true
		m.copyConfirmed()
	}
}

// addStore adds to the reply to a heartbeat what its sender lacks of the store.
func (m *Machine) addStore(now time.Time, reply *HeartbeatReply, r *HeartbeatRequest) {
	known, theirs := m.storeCopy.Version(), mirror.Version{Era: r.StoreEra, Revision: r.StoreRevision}
	reply.StatesEra, reply.StoreEra, reply.PastKnown = true, known.Era, m.storeCopy.Known()
	if !m.storeCopy.ConfirmedAt().IsZero() {
		reply.CopyAge = now.Sub(m.storeCopy.ConfirmedAt())
	}
	if !r.StatesEra && r.StoreRevision > 0 { // of an older build, which compares revisions
		theirs.Era = known.Era
		if known.Before(theirs) && m.storeCopy.Rewinds() > 0 {
			reply.CopyAge = -1 // its copy is of an earlier era
		}
	}
	reply.Update = m.storeCopy.Since(theirs)
	// All entries do not show what was written and removed since the rewind, which decides
	// past entries.
	missedDeletions := reply.Update != nil && reply.Update.Full && len(reply.PastKnown) > 0
	if r.StatesEra && r.StoreEra <= known.Era && (missedDeletions || !r.PastKnown.CoversAll(reply.PastKnown)) {
		reply.Past = m.storeCopy.Past()
	}
}

// mergeStore merges what the reply to a heartbeat, sent at the given time, tells of
// the store.
func (m *Machine) mergeStore(now, sent time.Time, reply *HeartbeatReply) {
	known, era, confirmedAt := m.storeCopy.Version(), reply.StoreEra, sent.Add(-reply.CopyAge)
	u := reply.Update
	if !reply.StatesEra && known.Era > 0 { // from an older build
		// Its copy may be of an earlier era. Once the store's revisions have passed that
		// copy's, it is even confirmed again, with entries of both eras.
		if reply.CopyAge < 0 || len(m.storeCopy.Known()) > 0 || !confirmedAt.After(m.eras.enteredAt) {
			return
		}
		era = known.Era
		if u != nil {
			aligned := *u
			aligned.Era, u = era, &aligned
		}
	}
	if !m.trustsEra(era) || m.hasCopy() && era > known.Era && !confirmedAt.After(m.storeCopy.ConfirmedAt()) {
		return // a later era is not older, unless the store states wrong ones
	}
	if u != nil {
		m.applyReplyUpdate(now, u, reply.Past)
	} else {
		m.mergePast(now, mirror.Version{Era: era}, reply.Past) // of a copy that is no newer
	}
	if reply.CopyAge < 0 || era != m.storeCopy.Version().Era {
		return
	}
	asOf := m.storeCopy.Version()
	if u != nil {
		asOf = u.Version()
	}
	m.confirmCopy(asOf, confirmedAt)
}

// mergePast takes over what another VM, whose copy is of the given version, keeps of
// earlier eras. What it has dropped since a newer copy decided it is not taken over.
func (m *Machine) mergePast(now time.Time, theirs mirror.Version, past *mirror.Past) {
	known := m.storeCopy.Version()
	if past != nil && theirs.Era == known.Era && !known.Before(theirs) && m.hasCopy() {
		m.publishChanges(now, known, m.storeCopy.MergePast(past))
		m.viewDirty = true
	}
}
