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
	// A VM that knows of a newer text and cannot fetch it does not know which
	// keys are withdrawn; with the way of the news it must close within 2 s.
	behindLimit = time.Second
	maxRefused  = 64 // digests of refused texts that are remembered
	maxAhead    = 8  // peers remembered as sources of a newer text
)

// texts is what is known of texts that this VM has not accepted.
type texts struct {
	refused  map[config.Digest]bool // not parsed and not reported again
	ahead    []announcement         // newest last
	newest   announcement
	behind   time.Time // since when a newer text is known; zero if none is
	from     fleet.VMID
	fetching time.Time // when the fetch under way began; zero if none is
}

type announcement struct {
	vm       fleet.VM
	revision uint64
	digest   config.Digest
	at       time.Time
}

func (t *texts) due() time.Time {
	if t.fetching.IsZero() {
		return time.Time{}
	}
	return t.fetching.Add(fetchTimeout)
}

// offer accepts a text if it is valid and newer. A text that was refused once
// stays refused: what is invalid, older or the dropped side of a conflict now
// will be so later.
func (m *Machine) offer(now time.Time, source string, text []byte) bool {
	digest := config.Digest(sha256.Sum256(text))
	current := m.order.Current()
	if m.texts.refused[digest] || current != nil && current.Digest == digest {
		return false
	}
	changed, err := m.order.Offer(text)
	if err != nil {
		m.emit(ReportRejected{Source: source, Err: err})
	}
	if !changed {
		if len(m.texts.refused) >= maxRefused {
			clear(m.texts.refused)
		}
		m.texts.refused[digest] = true
		return false
	}
	m.accepted(now)
	return true
}

func (m *Machine) accepted(now time.Time) {
	m.service.pacer.SetMaxVMs(m.maxVMs())
	m.needView = true
	m.pruneAhead()
	if m.gate.open {
		m.announce(now)
	} else {
		m.beats.next = now // with max_vms known, the election may begin
	}
}

// behind reports whether a peer announces a text that is to be fetched.
func (m *Machine) behind(a announcement) bool {
	return m.order.Behind(a.revision, a.digest) && !m.texts.refused[a.digest]
}

// announced takes what a peer says of its text and fetches it if it is newer.
func (m *Machine) announced(now time.Time, s *Status) {
	a := announcement{vm: s.From, revision: s.Revision, digest: s.Digest, at: now}
	if !m.behind(a) {
		return
	}
	t := &m.texts
	if t.behind.IsZero() {
		t.behind = now
	}
	if a.revision >= t.newest.revision {
		t.newest = a
	}
	t.ahead = slices.DeleteFunc(t.ahead, func(o announcement) bool { return o.vm.ID == a.vm.ID })
	t.ahead = append(t.ahead, a)
	if len(t.ahead) > maxAhead {
		t.ahead = slices.Delete(t.ahead, 0, 1)
	}
	m.fetch(now)
}

// fetch asks one peer at a time.
func (m *Machine) fetch(now time.Time) {
	t := &m.texts
	if !t.fetching.IsZero() && now.Before(t.due()) {
		return
	}
	t.fetching = time.Time{}
	if len(t.ahead) == 0 {
		return
	}
	a := t.ahead[len(t.ahead)-1]
	t.from, t.fetching = a.vm.ID, now
	m.emit(FetchDocument{From: a.vm, Revision: a.revision})
}

func (m *Machine) peerText(now time.Time, ev DocumentFetched) {
	m.fetchEnded(ev.From)
	m.offer(now, string(ev.From), ev.Document)
	m.pruneAhead()
	m.fetch(now)
}

func (m *Machine) fetchFailed(now time.Time, from fleet.VMID) {
	m.fetchEnded(from)
	m.fetch(now)
}

func (m *Machine) fetchEnded(from fleet.VMID) {
	t := &m.texts
	if t.from == from {
		t.fetching = time.Time{}
	}
	t.ahead = slices.DeleteFunc(t.ahead, func(o announcement) bool { return o.vm.ID == from })
}

func (m *Machine) pruneAhead() {
	t := &m.texts
	t.ahead = slices.DeleteFunc(t.ahead, func(o announcement) bool { return !m.behind(o) })
	if !m.behind(t.newest) {
		t.newest, t.behind = announcement{}, time.Time{}
	}
}

// updateTexts ends a fetch that got no answer, and forgets a newer text whose
// last announcement is old: the VM that had it is gone.
func (m *Machine) updateTexts(now time.Time) {
	t := &m.texts
	if due := t.due(); !due.IsZero() && !now.Before(due) {
		m.fetchFailed(now, t.from)
	}
	if !t.behind.IsZero() && now.Sub(t.newest.at) > fleet.LivenessTimeout {
		t.newest, t.behind = announcement{}, time.Time{}
	}
}

// outdated reports whether a newer text has been known for too long.
func (m *Machine) outdated(now time.Time) bool {
	return !m.texts.behind.IsZero() && now.Sub(m.texts.behind) > behindLimit
}
