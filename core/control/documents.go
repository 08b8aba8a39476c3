package control

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	fetchTimeout = time.Second
	// A VM that knows of a newer document and cannot fetch it does not know which
	// keys are withdrawn. It must be fenced within 2 s of the acceptance elsewhere,
	// which includes the time that the announcement takes to reach it.
	maxBehindTime = time.Second
	maxRejected   = 64 // digests of rejected documents that are remembered
	maxSources    = 8  // peers that are remembered as sources of a newer document
)

// documents holds what is known of configuration documents that this VM has not
// accepted, and the fetch in progress.
type documents struct {
	rejected       map[config.Digest]bool // these are not parsed or reported again
	sources        []announcement         // peers with a newer document, latest announcement last
	newest         announcement
	behindSince    time.Time // since when a newer document is known; zero if none is
	fetchingFrom   fleet.VMID
	fetchStartedAt time.Time // zero if no fetch is in progress
}

// announcement says that a peer has a document.
type announcement struct {
	vm         fleet.VM
	revision   uint64
	digest     config.Digest
	receivedAt time.Time
}

// fetchDeadline returns when the fetch in progress times out, zero if there is none.
func (d *documents) fetchDeadline() time.Time {
	if d.fetchStartedAt.IsZero() {
		return time.Time{}
	}
	return d.fetchStartedAt.Add(fetchTimeout)
}

// offerDocument accepts a document if it is valid and newer, and reports whether it
// did. A document that was rejected once stays rejected: one that is invalid, older
// or the losing side of a conflict remains so.
func (m *Machine) offerDocument(now time.Time, source string, document []byte) bool {
	digest := config.Digest(sha256.Sum256(document))
	current := m.revisions.Current()
	if m.documents.rejected[digest] || current != nil && current.Digest == digest {
		return false
	}
	changed, err := m.revisions.Offer(document)
	if err != nil {
		m.emit(ReportRejected{Source: source, Err: err})
	}
	if !changed {
		if len(m.documents.rejected) >= maxRejected {
			clear(m.documents.rejected)
		}
		m.documents.rejected[digest] = true
		return false
	}
	m.handleAccepted(now)
	return true
}

func (m *Machine) handleAccepted(now time.Time) {
	m.service.pacer.SetMaxVMs(m.maxVMs())
	m.needView = true
	m.pruneSources()
	if m.gate.open {
		m.announce(now)
	} else {
		m.heartbeats.next = now // max_vms is known now, so that the election may begin
	}
}

// isNewer reports whether a peer announces a document that should be fetched.
func (m *Machine) isNewer(a announcement) bool {
	return m.revisions.IsBehind(a.revision, a.digest) && !m.documents.rejected[a.digest]
}

// handleAnnouncement records what a peer reports of its document and fetches it if
// it is newer.
func (m *Machine) handleAnnouncement(now time.Time, s *Status) {
	a := announcement{vm: s.From, revision: s.Revision, digest: s.Digest, receivedAt: now}
	if !m.isNewer(a) {
		return
	}
	d := &m.documents
	if d.behindSince.IsZero() {
		d.behindSince = now
	}
	if a.revision >= d.newest.revision {
		d.newest = a
	}
	d.sources = slices.DeleteFunc(d.sources, func(o announcement) bool { return o.vm.ID == a.vm.ID })
	d.sources = append(d.sources, a)
	if len(d.sources) > maxSources {
		d.sources = slices.Delete(d.sources, 0, 1)
	}
	m.fetchNext(now)
}

// fetchNext asks the source with the latest announcement for its document, unless a
// fetch is in progress.
func (m *Machine) fetchNext(now time.Time) {
	d := &m.documents
	if !d.fetchStartedAt.IsZero() && now.Before(d.fetchDeadline()) {
		return
	}
	d.fetchStartedAt = time.Time{}
	if len(d.sources) == 0 {
		return
	}
	a := d.sources[len(d.sources)-1]
	d.fetchingFrom, d.fetchStartedAt = a.vm.ID, now
	m.emit(FetchDocument{From: a.vm, Revision: a.revision})
}

func (m *Machine) handleDocument(now time.Time, ev DocumentFetched) {
	m.finishFetch(ev.From)
	m.offerDocument(now, string(ev.From), ev.Document)
	m.pruneSources()
	m.fetchNext(now)
}

func (m *Machine) handleFetchFailure(now time.Time, from fleet.VMID) {
	m.finishFetch(from)
	m.fetchNext(now)
}

// finishFetch ends a fetch from a peer, which is no longer used as a source until it
// announces its document again.
func (m *Machine) finishFetch(from fleet.VMID) {
	d := &m.documents
	if d.fetchingFrom == from {
		d.fetchStartedAt = time.Time{}
	}
	d.sources = slices.DeleteFunc(d.sources, func(o announcement) bool { return o.vm.ID == from })
}

// pruneSources drops the announcements that are not newer any more.
func (m *Machine) pruneSources() {
	d := &m.documents
	d.sources = slices.DeleteFunc(d.sources, func(o announcement) bool { return !m.isNewer(o) })
	if !m.isNewer(d.newest) {
		d.newest, d.behindSince = announcement{}, time.Time{}
	}
}

// expireAnnouncements ends a fetch that timed out, and forgets a newer document
// whose last announcement is old: the VM that had it is gone.
func (m *Machine) expireAnnouncements(now time.Time) {
	d := &m.documents
	if due := d.fetchDeadline(); !due.IsZero() && !now.Before(due) {
		m.handleFetchFailure(now, d.fetchingFrom)
	}
	if !d.behindSince.IsZero() && now.Sub(d.newest.receivedAt) > fleet.LivenessTimeout {
		d.newest, d.behindSince = announcement{}, time.Time{}
	}
}

// isOutdated reports whether a newer document has been known for longer than
// maxBehindTime.
func (m *Machine) isOutdated(now time.Time) bool {
	return !m.documents.behindSince.IsZero() && now.Sub(m.documents.behindSince) > maxBehindTime
}
